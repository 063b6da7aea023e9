package io.limpetfold.testing

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
import java.time.Duration

/**
 * The platform's object API in memory, with conditional updates and with faults that a test chooses.
 *
 * A view made by [withFaults] shares the objects, so that each router of a test can have faults of its own. Watches
 * return at once.
 */
class FakeObjectStore private constructor(
    private val state: State,
    private val faults: (StoreCall) -> StoreFault,
) : ObjectStore {
    constructor() : this(State(), { StoreFault.NONE })

    /** The number of calls that reached the store, through all views. */
    val callCount: Int get() = synchronized(state) { state.callCount }

    /** The number of writes that took effect, through all views. */
    val writeCount: Int get() = synchronized(state) { state.writeCount }

    /** Returns every value that was stored under [key], oldest first; tests check invariants on each of them. */
    fun history(key: ObjectKey): List<String> = synchronized(state) { state.history[key].orEmpty().toList() }

    /** Returns a view of the same objects whose calls meet [faults]. */
    fun withFaults(faults: (StoreCall) -> StoreFault): FakeObjectStore = FakeObjectStore(state, faults)

    override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> =
        read(StoreCall.Get(key)) {
            it.objects[key]
        }

    override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
        read(StoreCall.List(prefix)) { it.page(prefix, ObjectVersion.NONE) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError> = read(StoreCall.Watch(prefix)) { it.page(prefix, after) }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        val fault = faults(StoreCall.Put(key))
        return synchronized(state) {
            when (fault) {
                StoreFault.UNAVAILABLE -> Err(StoreError.Unavailable("fault of the test"))
                StoreFault.RATE_LIMITED -> Err(StoreError.RateLimited(Duration.ofMillis(100)))
                StoreFault.REQUEST_LOST -> Err(StoreError.OutcomeUnknown("fault of the test"))
                StoreFault.RESPONSE_LOST -> {
                    state.put(key, value, expected)
                    Err(StoreError.OutcomeUnknown("fault of the test"))
                }
                StoreFault.NONE -> state.put(key, value, expected)
            }
        }
    }

    private inline fun <T> read(
        call: StoreCall,
        select: (State) -> T,
    ): Result<T, StoreError> =
        when (faults(call)) {
            StoreFault.NONE ->
                synchronized(state) {
                    state.callCount++
                    Ok(select(state))
                }
            StoreFault.RATE_LIMITED -> Err(StoreError.RateLimited(Duration.ofMillis(100)))
            else -> Err(StoreError.Unavailable("fault of the test"))
        }

    private class State {
        val objects = mutableMapOf<ObjectKey, StoredObject>()
        val history = mutableMapOf<ObjectKey, MutableList<String>>()
        var version = 0L
        var callCount = 0
        var writeCount = 0

        fun page(
            prefix: String,
            after: ObjectVersion,
        ): ObjectPage {
            val found = objects.values.filter { it.key.path.startsWith(prefix) && it.version > after }
            return ObjectPage(found.sortedBy { it.version }.toImmutableList(), ObjectVersion(version))
        }

        fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> {
            callCount++
            val current = objects[key]?.version ?: ObjectVersion.NONE
            if (current != expected) return Err(StoreError.Conflict(key, current))
            if (value.encodeToByteArray().size > MAX_VALUE_BYTES) return Err(StoreError.TooLarge(value.length))
            version++
            writeCount++
            objects[key] = StoredObject(key, ObjectVersion(version), value)
            history.getOrPut(key) { mutableListOf() } += value
            return Ok(ObjectVersion(version))
        }
    }

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
