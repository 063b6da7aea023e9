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

/** A store whose watches wait, on the scheduler of the test; a view of a router can be cut off. */
internal class WatchingStore {
    private class Event(
        val stored: StoredObject,
        val isRemoval: Boolean,
    )

    private val events = mutableListOf<Event>()
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val revision = MutableStateFlow(1L)

    /** Calls that reached the store, through all views. */
    var callCount = 0
        private set

    /** The values of all objects, by key. */
    fun current(): Map<ObjectKey, String> = objects.mapValues { it.value.value }

    fun write(
        key: ObjectKey,
        value: String,
    ) {
        val stored = StoredObject(key, ObjectVersion.of(revision.value + 1), value)
        objects[key] = stored
        events += Event(stored, isRemoval = false)
        revision.value++
    }

    fun remove(key: ObjectKey) {
        val stored = objects.remove(key) ?: return
        events += Event(stored.copy(version = ObjectVersion.of(revision.value + 1)), isRemoval = true)
        revision.value++
    }

    /** The store as one router reaches it; while [isCut] is true, calls get no response until their timeout. */
    inner class View(
        private val isCut: () -> Boolean,
    ) : ObjectStore {
        override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
            call(CALL_TIMEOUT_MILLIS) {
                ObjectPage(objects.values.toImmutableList(), ObjectVersion.of(revision.value))
            }

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ): Result<ObjectPage, StoreError> =
            call(wait.toMillis() + CALL_TIMEOUT_MILLIS) {
                withTimeoutOrNull(wait.toMillis()) { revision.first { it > after.revision } }
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
        val newest = events.filter { it.stored.version > after }.associateBy { it.stored.key }.values
        return ObjectPage(
            newest.filter { !it.isRemoval }.map { it.stored }.toImmutableList(),
            ObjectVersion.of(revision.value),
            newest.filter { it.isRemoval }.map { it.stored.key }.toImmutableList(),
        )
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 2_000L
        const val RESPONSE_MILLIS = 4L
        const val CUT_CHECK_MILLIS = 50L
    }
}
