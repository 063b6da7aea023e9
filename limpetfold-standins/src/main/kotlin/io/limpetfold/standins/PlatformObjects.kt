package io.limpetfold.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeMap

/** The objects of the platform stand-in; each write gets the next version of the whole store. */
class PlatformObjects {
    /** An object and the version of its last write. */
    data class Entry(
        val key: String,
        val version: Long,
        val value: String,
    )

    /** The outcome of a conditional write. */
    sealed interface PutResult {
        data class Stored(
            val version: Long,
        ) : PutResult

        data class Conflict(
            val current: Long,
        ) : PutResult
    }

    private val objects = TreeMap<String, Entry>()
    private val version = MutableStateFlow(0L)

    fun get(key: String): Entry? = synchronized(objects) { objects[key] }

    /** Writes [value] if the object has the version [expected]; 0 means that it must not exist. */
    fun put(
        key: String,
        value: String,
        expected: Long,
    ): PutResult =
        synchronized(objects) {
            val current = objects[key]?.version ?: 0
            if (current != expected) return PutResult.Conflict(current)
            val next = version.value + 1
            objects[key] = Entry(key, next, value)
            version.value = next
            PutResult.Stored(next)
        }

    /** Returns the objects under [prefix] whose version is above [after], and the version of the store. */
    fun list(
        prefix: String,
        after: Long,
    ): Pair<List<Entry>, Long> =
        synchronized(objects) {
            objects
                .tailMap(prefix)
                .values
                .takeWhile { it.key.startsWith(prefix) }
                .filter { it.version > after }
                .sortedBy { it.version } to version.value
        }

    /** Waits up to [waitMillis] for an object under [prefix] with a version above [after], then lists like [list]. */
    suspend fun watch(
        prefix: String,
        after: Long,
        waitMillis: Long,
    ): Pair<List<Entry>, Long> {
        withTimeoutOrNull(waitMillis) { version.first { list(prefix, after).first.isNotEmpty() } }
        return list(prefix, after)
    }
}
