package io.limpetfold.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeMap

/** The objects of the platform stand-in; each write gets the next version of the whole store in its era. */
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

    /** The objects at one time, to [restore] them later. */
    private class Copy(
        val objects: Map<String, Entry>,
        val version: Long,
    )

    private val objects = TreeMap<String, Entry>()
    private val version = MutableStateFlow(0L)
    private var copy = Copy(emptyMap(), 0)

    /** How often the store has been restored from an older copy. */
    @Volatile
    var era = 0L
        private set

    /** Makes the copy that the next [restore] uses; before the first one it is empty. */
    fun copy() = synchronized(objects) { copy = Copy(objects.toMap(), version.value) }

    /** Begins a new era with the objects of the copy; later objects are gone, and their versions are given out again. */
    fun restore() =
        synchronized(objects) {
            era++
            objects.clear()
            objects.putAll(copy.objects)
            version.value = copy.version
        }

    /** Returns the result of [operation] and the era in which it took place. */
    fun <T> withEra(operation: PlatformObjects.() -> T): Pair<T, Long> = synchronized(objects) { operation() to era }

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

    /** Waits up to [waitMillis] for an object under [prefix] with a version above [after]. */
    suspend fun awaitChange(
        prefix: String,
        after: Long,
        waitMillis: Long,
    ) {
        withTimeoutOrNull(waitMillis) { version.first { list(prefix, after).first.isNotEmpty() } }
    }
}
