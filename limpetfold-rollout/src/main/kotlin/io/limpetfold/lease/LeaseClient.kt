package io.limpetfold.lease

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import io.limpetfold.core.Incarnation
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * Acquires, renews and releases one lease on behalf of [self].
 *
 * The holder measures the TTL on its monotonic clock from before the renewal was sent, so its term ends no later than
 * one TTL after the write took effect. A candidate waits for a full TTL, measured from after the read that first showed
 * the record, during which the record must stay unchanged; its write is conditional on that record. So the old term has
 * ended when the new one begins. Wall clocks are not used.
 *
 * - Holder paused: [fencingTokenIfHeld] reads the monotonic clock on each call, so the first call after the pause
 *   accounts for the elapsed time. This fails on a virtual machine whose monotonic clock stops while it is suspended;
 *   stored objects and endpoints that check the fencing token are then still protected by it.
 * - Response to a renewal lost: the object is read again. Until that read shows the write, the time that remains of the
 *   previous renewal keeps counting down.
 * - Response to an acquisition lost and the platform unavailable: the record may name [self]; a later [maintain] renews
 *   it before [fencingTokenIfHeld] returns its token.
 * - Store restored from an older copy: a term of before may be missing from the copy. Each record names the era in
 *   which its write was based. A record of an earlier era, and an absent one after the first restore, says nothing
 *   about such terms: a candidate takes it only when it stayed unchanged for a full TTL, even if it is released or names
 *   [self]. All earlier terms have ended by then, because each write of theirs took effect before the restore. A holder
 *   whose term has not expired after it read such a record writes its own record over it at once and keeps its token. A
 *   write that takes effect in another era than the one that it was based on is no acquisition. In an era in which the
 *   store has never been restored, or after a release in the same era, nobody waits.
 *
 * Safe for concurrent use.
 */
class LeaseClient(
    private val store: ObjectStore,
    private val self: Incarnation,
    private val monotonic: TimeSource,
    key: ObjectKey = MOVE_CONTROLLER_KEY,
    private val policy: LeasePolicy = LeasePolicy(),
    private val listener: LeaseListener = LeaseListener.NONE,
) {
    private val lease = TypedObject(store, key, LeaseRecord.serializer())
    private val mutex = Mutex()
    private val termLength = policy.timeToLive.multipliedBy(1.0 - policy.clockDriftShare)

    @Volatile private var term: Term? = null

    @Volatile private var isReleased = false
    private var lastObserved: ObservedRecord? = null
    private var polledAt: TimeMark? = null

    /** Performs one round: renews a held lease, or acquires a free or expired one. Call it about once a second. */
    suspend fun maintain() =
        mutex.withLock {
            if (isReleased) return@withLock
            val lastCall = term?.sentAt ?: polledAt
            if (lastCall != null && lastCall.elapsedNow().toJavaDuration() < policy.renewAfter) return@withLock
            read().fold(
                success = {
                    polledAt = monotonic.markNow()
                    observe(it)
                },
                failure = { listener.onError(it) },
            )
        }

    /** Returns the fencing token if the lease is valid for more than [margin]; null otherwise. Makes no remote call. */
    fun fencingTokenIfHeld(margin: Duration): FencingToken? {
        val current = term
        if (current == null || isReleased) return null
        return if (remaining(current) > margin) current.fencing else null
    }

    /**
     * Releases the lease permanently, for a graceful shutdown; [maintain] does nothing afterwards.
     *
     * [fencingTokenIfHeld] returns null from the start of the call.
     */
    suspend fun release(): Result<Unit, StoreError> {
        isReleased = true
        return mutex.withLock {
            term = null
            var released: FencingToken? = null
            val updated =
                lease.updateVersioned<Unit>(isApplied = { it.value?.holder != self }) { (record, version) ->
                    if (record == null || !isOwn(ReadRecord(record, version))) {
                        Change.Keep
                    } else {
                        released = record.fencing
                        Change.Write(record.copy(holder = null, renewal = record.renewal + 1))
                    }
                }
            updated.fold(
                success = {
                    released?.let(listener::onLost)
                    Ok(Unit)
                },
                failure = { error -> if (error is UpdateError.Failed) Err(error.error) else Ok(Unit) },
            )
        }
    }

    private suspend fun observe(read: ReadRecord) {
        val record = read.record
        if (record != null && isOwn(read)) return write(read, record.copy(renewal = record.renewal + 1))
        val unexpired = term?.takeIf { remaining(it) > Duration.ZERO }
        if (unexpired != null && !read.isOfCurrentEra) return write(read, record(unexpired.fencing, read.era))
        endTerm()
        if (lastObserved?.version != read.version || lastObserved?.isAbsent != (record == null)) {
            lastObserved = ObservedRecord(read.version, record == null, monotonic.markNow())
        }
        if (!isFree(read)) {
            val waited = checkNotNull(lastObserved).firstReadAt.elapsedNow().toJavaDuration()
            if (waited < (record?.let { Duration.ofMillis(it.timeToLiveMillis) } ?: policy.timeToLive)) return
        }
        write(read, record(FencingToken.after(record?.fencing, read.version), read.era))
    }

    /** Reads the lease; a listing tells the era of an absent one. */
    private suspend fun read(): Result<ReadRecord, StoreError> =
        lease.read().andThen { found ->
            if (found.value != null) {
                Ok(ReadRecord(found.value, found.version))
            } else {
                store.list(lease.key.path).andThen { page ->
                    val isAbsent = page.objects.none { it.key == lease.key }
                    val era = page.position.era
                    if (isAbsent) {
                        Ok(ReadRecord(null, ObjectVersion.of(0, era)))
                    } else {
                        Err(StoreError.Unavailable("${lease.key} was created during the read"))
                    }
                }
            }
        }

    private fun isOwn(read: ReadRecord) = read.record?.holder == self && read.isOfCurrentEra

    private fun isFree(read: ReadRecord): Boolean =
        if (read.record == null) read.era == 0L else read.record.holder == null && read.isOfCurrentEra

    private fun record(
        fencing: FencingToken,
        era: Long,
    ) = LeaseRecord(fencing, self, policy.timeToLive.toMillis(), renewal = 0, era)

    private suspend fun write(
        read: ReadRecord,
        next: LeaseRecord,
    ) {
        val sentAt = monotonic.markNow()
        val updated =
            lease.updateVersioned(isApplied = { it.value == next && it.version.era == read.era }) { current ->
                val isUnchanged = if (read.record == null) current.value == null else current.version == read.version
                if (isUnchanged) Change.Write(next) else Change.Refuse(Unit)
            }
        updated.fold(
            success = {
                if (it.version.era != read.era) return@fold
                val isNew = term?.fencing != next.fencing
                term = Term(next.fencing, sentAt)
                if (isNew) listener.onAcquired(next.fencing)
            },
            failure = { error -> if (error is UpdateError.Failed) listener.onError(error.error) },
        )
    }

    private fun remaining(term: Term): Duration = termLength - term.sentAt.elapsedNow().toJavaDuration()

    private fun endTerm() {
        term?.let { listener.onLost(it.fencing) }
        term = null
    }

    private data class Term(
        val fencing: FencingToken,
        val sentAt: TimeMark,
    )

    /** The lease as it was read; the version of an absent record has the era of the read and no revision. */
    private class ReadRecord(
        val record: LeaseRecord?,
        val version: ObjectVersion,
    ) {
        val era: Long get() = version.era

        /** Whether the write that stored the record was based on a read in the era in which it took effect. */
        val isOfCurrentEra: Boolean get() = record?.era == era
    }

    /** What was last read while another instance or none was the holder. */
    private class ObservedRecord(
        val version: ObjectVersion,
        val isAbsent: Boolean,
        val firstReadAt: TimeMark,
    )

    companion object {
        /** The key of the lease that elects the move controller. */
        val MOVE_CONTROLLER_KEY = ObjectKey("lease/moves")

        private fun Duration.multipliedBy(share: Double): Duration = Duration.ofNanos((toNanos() * share).toLong())
    }
}
