package io.limpetfold.replication

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/**
 * A store whose watches wait, on the scheduler of the test; a view of a router can be cut off. A watch that waits across
 * a restore gets a page of the later era, as if its connection had not been cut.
 */
internal class WatchingStore {
    private class Event(
        val stored: StoredObject,
        val isRemoval: Boolean,
    )

    private val events = mutableListOf<Event>()
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val position = MutableStateFlow(ObjectVersion.of(1))

    /** Calls that reached the store, through all views. */
    var callCount = 0
        private set

    /** The values of all objects, by key. */
    fun current(): Map<ObjectKey, String> = objects.mapValues { it.value.value }

    /** What the store held at one time. */
    class Copy internal constructor(
        internal val objects: Map<ObjectKey, StoredObject>,
        internal val revision: Long,
    )

    fun copy() = Copy(objects.toMap(), position.value.revision)

    /** Begins a new era with what [copy] holds, and gives out again the revisions of what was written since. */
    fun restore(copy: Copy) {
        objects.clear()
        objects.putAll(copy.objects)
        events.removeIf { it.stored.version.revision > copy.revision }
        position.value = ObjectVersion.of(copy.revision, position.value.era + 1)
    }

    fun write(
        key: ObjectKey,
        value: String,
    ) {
        val next = next()
        val stored = StoredObject(key, ObjectVersion.of(next.revision), value)
        objects[key] = stored
        events += Event(stored, isRemoval = false)
        position.value = next
    }

    fun remove(key: ObjectKey) {
        val stored = objects.remove(key) ?: return
        val next = next()
        events += Event(stored.copy(version = ObjectVersion.of(next.revision)), isRemoval = true)
        position.value = next
    }

    private fun next() = position.value.let { ObjectVersion.of(it.revision + 1, it.era) }

    private fun labelled(stored: StoredObject) =
        stored.copy(version = ObjectVersion.of(stored.version.revision, position.value.era))

    /** The store as one router reaches it; while [isCut] is true, calls get no response until their timeout. */
    inner class View(
        private val isCut: () -> Boolean,
    ) : ObjectStore {
        override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
            call(CALL_TIMEOUT_MILLIS) {
                ObjectPage(objects.values.map(::labelled).toImmutableList(), position.value)
            }

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ): Result<ObjectPage, StoreError> =
            call(wait.toMillis() + CALL_TIMEOUT_MILLIS) {
                withTimeoutOrNull(wait.toMillis()) { position.first { it > after } }
                pageAfter(after)
            }

        override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> = Ok(objects[key])

        override suspend fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> = Err(StoreError.Rejected("routers only read in this test"))

        private suspend fun <T> call(
            timeoutMillis: Long,
            respond: suspend () -> T,
        ): Result<T, StoreError> {
            val response =
                withTimeoutOrNull(timeoutMillis) {
                    delay(RESPONSE_MILLIS)
                    while (isCut()) delay(CUT_CHECK_MILLIS)
                    callCount++
                    val response = respond()
                    while (isCut()) delay(CUT_CHECK_MILLIS)
                    response
                }
            return response?.let { Ok(it) } ?: Err(StoreError.Unavailable("no response"))
        }
    }

    private fun pageAfter(after: ObjectVersion): ObjectPage {
        val newest = events.filter { it.stored.version.revision > after.revision }.associateBy { it.stored.key }.values
        return ObjectPage(
            newest.filter { !it.isRemoval }.map { labelled(it.stored) }.toImmutableList(),
            position.value,
            newest.filter { it.isRemoval }.map { it.stored.key }.toImmutableList(),
        )
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 2_000L
        const val RESPONSE_MILLIS = 4L
        const val CUT_CHECK_MILLIS = 50L
    }
}
