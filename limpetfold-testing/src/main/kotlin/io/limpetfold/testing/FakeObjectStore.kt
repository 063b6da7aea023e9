package io.limpetfold.testing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
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
 * return at once. The store can be restored from a copy; its versions carry the era, but its conditions compare
 * revisions only, as the platform's do.
 */
class FakeObjectStore private constructor(
    private val state: State,
    private val isDelayed: (StoreCall) -> Boolean,
    private val faults: (StoreCall) -> StoreFault,
) : ObjectStore {
    constructor() : this(State(), { false }, { StoreFault.NONE })

    /** The number of calls that reached the store, through all views. */
    val callCount: Int get() = synchronized(state) { state.callCount }

    /** The number of writes that took effect, through all views. */
    val writeCount: Int get() = synchronized(state) { state.writeCount }

    /** Returns every value that was stored under [key], oldest first; tests check invariants on each of them. */
    fun history(key: ObjectKey): List<String> = synchronized(state) { state.history[key].orEmpty().toList() }

    /** Returns a view of the same objects whose calls meet [faults]. */
    fun withFaults(faults: (StoreCall) -> StoreFault): FakeObjectStore = FakeObjectStore(state, isDelayed, faults)

    /** Returns a view in which a write that meets no fault may get no response, and is executed by [executeDelayed] only. */
    fun withDelays(isDelayed: (StoreCall) -> Boolean): FakeObjectStore = FakeObjectStore(state, isDelayed, faults)

    /** The number of restores so far. */
    val era: Long get() = synchronized(state) { state.era }

    /** The objects as they are now, to [restore] them later. */
    fun copy(): Copy = synchronized(state) { Copy(state.objects.toMap(), state.revision) }

    /** Begins a new era with the objects of [copy]; what was written since is gone, and its revisions are given out again. */
    fun restore(copy: Copy) =
        synchronized(state) {
            state.era++
            state.revision = copy.revision
            state.objects.clear()
            state.objects.putAll(copy.objects)
        }

    /** The number of delayed writes that have not been executed. */
    val delayedCount: Int get() = synchronized(state) { state.delayed.size }

    /** Executes the oldest delayed write, if its condition holds by now. */
    fun executeDelayed() = synchronized(state) { state.delayed.removeFirstOrNull()?.invoke() }

    override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> =
        read(StoreCall.Get(key)) {
            it.labelled(it.objects[key])
        }

    override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
        read(StoreCall.List(prefix)) { it.page(prefix, ObjectVersion.NONE) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError> =
        read(StoreCall.Watch(prefix)) { state ->
            if (after.revision > state.revision) null else state.page(prefix, after)
        }.andThen { page -> page?.let { Ok(it) } ?: Err(StoreError.HistoryExpired) }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> = write(key) { it.put(key, value, expected) }

    override suspend fun putStatus(
        key: ObjectKey,
        status: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> = write(key) { it.putStatus(key, status, expected) }

    private inline fun write(
        key: ObjectKey,
        crossinline execute: (State) -> Result<ObjectVersion, StoreError>,
    ): Result<ObjectVersion, StoreError> {
        val fault = faults(StoreCall.Put(key))
        return synchronized(state) {
            when (fault) {
                StoreFault.UNAVAILABLE -> Err(StoreError.Unavailable("fault of the test"))
                StoreFault.RATE_LIMITED -> Err(StoreError.RateLimited(Duration.ofMillis(100)))
                StoreFault.REQUEST_LOST -> Err(StoreError.OutcomeUnknown("fault of the test"))
                StoreFault.RESPONSE_LOST -> {
                    execute(state)
                    Err(StoreError.OutcomeUnknown("fault of the test"))
                }
                StoreFault.NONE ->
                    if (isDelayed(StoreCall.Put(key))) {
                        state.delayed.addLast { execute(state) }
                        Err(StoreError.OutcomeUnknown("delayed by the test"))
                    } else {
                        execute(state)
                    }
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

    /** What a store held at one time. */
    class Copy internal constructor(
        internal val objects: Map<ObjectKey, StoredObject>,
        internal val revision: Long,
    )

    private class State {
        /** Objects whose versions have the revision of the last change, in era 0. */
        val objects = mutableMapOf<ObjectKey, StoredObject>()
        val history = mutableMapOf<ObjectKey, MutableList<String>>()
        val delayed = ArrayDeque<() -> Unit>()
        var revision = 0L
        var era = 0L
        var callCount = 0
        var writeCount = 0

        fun labelled(stored: StoredObject?): StoredObject? =
            stored?.copy(version = ObjectVersion.of(stored.version.revision, era))

        fun page(
            prefix: String,
            after: ObjectVersion,
        ): ObjectPage {
            val found =
                objects.values.filter { it.key.path.startsWith(prefix) && it.version.revision > after.revision }
            return ObjectPage(
                found.sortedBy { it.version }.mapNotNull(::labelled).toImmutableList(),
                ObjectVersion.of(revision, era),
            )
        }

        fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> {
            callCount++
            val current = objects[key]
            if ((current?.version?.revision ?: 0) != expected.revision) return Err(conflict(key))
            if (value.encodeToByteArray().size > MAX_VALUE_BYTES) return Err(StoreError.TooLarge(value.length))
            history.getOrPut(key) { mutableListOf() } += value
            return store(StoredObject(key, ObjectVersion.NONE, value, current?.status))
        }

        fun putStatus(
            key: ObjectKey,
            status: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> {
            callCount++
            val current = objects[key]
            if (current == null || current.version.revision != expected.revision) return Err(conflict(key))
            return store(current.copy(status = status))
        }

        private fun conflict(key: ObjectKey) =
            StoreError.Conflict(key, labelled(objects[key])?.version ?: ObjectVersion.NONE)

        private fun store(stored: StoredObject): Result<ObjectVersion, StoreError> {
            revision++
            writeCount++
            objects[stored.key] = stored.copy(version = ObjectVersion.of(revision))
            return Ok(ObjectVersion.of(revision, era))
        }
    }

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
