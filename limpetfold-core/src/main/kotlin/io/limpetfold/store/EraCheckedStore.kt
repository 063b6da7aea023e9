package io.limpetfold.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * Keeps calls from acting across a restore of [store], whose versions carry the era of the response.
 *
 * A conditional write states only a revision, which a restored store gives out again. A write whose condition was read
 * in an earlier era is therefore refused as a conflict without a call, and one that a restore overtook has an unknown
 * outcome even if the store accepted it. A watch across a restore ends with [StoreError.HistoryExpired], and a listing
 * across one fails. Safe for concurrent use if [store] is.
 *
 * @param staleReadPause how long after a restore stale reads are made as exact ones, since they may return what the
 * store held before it.
 */
class EraCheckedStore(
    private val store: ObjectStore,
    private val listener: EraListener = EraListener.NONE,
    private val staleReadPause: Duration = STALE_READ_PAUSE,
    timeSource: TimeSource = TimeSource.Monotonic,
) : ObjectStore {
    private val start = timeSource.markNow()
    private val knownEra = AtomicLong(UNKNOWN_ERA)

    @Volatile
    private var exactReadsUntil = Duration.ZERO

    /** The latest era that a response or a peer reported; 0 before the first. */
    val era: Long get() = maxOf(0, knownEra.get())

    /**
     * Takes notice of [version], which another router read from the store, so that a router that the store does not
     * respond to learns of a restore.
     */
    fun onVersionTold(version: ObjectVersion) = observe(version)

    override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> =
        store.get(key).onSuccess { stored -> stored?.let { observe(it.version) } }

    override suspend fun getStale(key: ObjectKey): Result<StoredObject?, StoreError> =
        if (now() < exactReadsUntil) {
            get(key)
        } else {
            store.getStale(key).onSuccess { stored -> stored?.let { observe(it.version) } }
        }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> = checkedWrite(key, expected) { store.put(key, value, expected) }

    override suspend fun putStatus(
        key: ObjectKey,
        status: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> = checkedWrite(key, expected) { store.putStatus(key, status, expected) }

    override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
        store.list(prefix).andThen { page ->
            observe(page.position)
            val isOneEra = page.objects.all { it.version.era == page.position.era }
            if (isOneEra && page.position.era >= era) {
                Ok(page)
            } else {
                Err(StoreError.Unavailable("the store was restored during a listing"))
            }
        }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError> {
        if (isOutdated(after)) return Err(StoreError.HistoryExpired)
        return store.watch(prefix, after, wait).andThen { page ->
            observe(page.position)
            val isContinued = after == ObjectVersion.NONE || page.position.era == after.era
            if (isContinued && page.position.era >= era) Ok(page) else Err(StoreError.HistoryExpired)
        }
    }

    private suspend fun checkedWrite(
        key: ObjectKey,
        expected: ObjectVersion,
        write: suspend () -> Result<ObjectVersion, StoreError>,
    ): Result<ObjectVersion, StoreError> {
        if (isOutdated(expected)) return Err(StoreError.Conflict(key, ObjectVersion.NONE))
        val sentIn = if (expected == ObjectVersion.NONE) knownEra.get() else expected.era
        val result = write()
        val error = result.fold({ null }, { it })
        (error as? StoreError.Conflict)?.let { observe(it.current) }
        return result.andThen { written ->
            observe(written)
            if (sentIn == UNKNOWN_ERA || written.era == sentIn) {
                Ok(written)
            } else {
                Err(StoreError.OutcomeUnknown("the store was restored while a write of $key was under way"))
            }
        }
    }

    private fun isOutdated(version: ObjectVersion) = version != ObjectVersion.NONE && version.era < knownEra.get()

    /** Responses of an earlier era that arrive late change nothing. */
    private fun observe(version: ObjectVersion) {
        if (version == ObjectVersion.NONE) return
        val previous = knownEra.getAndAccumulate(version.era, ::maxOf)
        if (version.era <= previous || previous == UNKNOWN_ERA) return
        exactReadsUntil = now() + staleReadPause
        listener.onEraChanged(previous, version.era)
    }

    private fun now(): Duration = start.elapsedNow().toJavaDuration()

    private companion object {
        const val UNKNOWN_ERA = -1L
        val STALE_READ_PAUSE: Duration = Duration.ofSeconds(10)
    }
}
