package io.limpetfold.lease

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.core.Incarnation
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
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
 *
 * Safe for concurrent use.
 */
class LeaseClient(
    store: ObjectStore,
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
            lease.read().fold(
                success = {
                    polledAt = monotonic.markNow()
                    observe(it.value)
                },
                failure = { listener.onError(it) },
            )
        }

    /** Returns the fencing token if the lease is valid for more than [margin]; null otherwise. Makes no remote call. */
    fun fencingTokenIfHeld(margin: Duration): FencingToken? {
        val current = term
        if (current == null || isReleased) return null
        val remaining = termLength - current.sentAt.elapsedNow().toJavaDuration()
        return if (remaining > margin) current.fencing else null
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
                lease.update<Unit>(isApplied = { it.holder != self }) { current ->
                    if (current?.holder != self) {
                        Change.Keep
                    } else {
                        released = current.fencing
                        Change.Write(current.copy(holder = null, renewal = current.renewal + 1))
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

    private suspend fun observe(record: LeaseRecord?) {
        if (record?.holder == self) return write(record, record.copy(renewal = record.renewal + 1))
        endTerm()
        if (lastObserved?.record != record) lastObserved = ObservedRecord(record, monotonic.markNow())
        if (record?.holder != null) {
            val waited = checkNotNull(lastObserved).firstReadAt.elapsedNow().toJavaDuration()
            if (waited < Duration.ofMillis(record.timeToLiveMillis)) return
        }
        val fencing = FencingToken((record?.fencing ?: FencingToken.NONE).number + 1)
        write(record, LeaseRecord(fencing, self, policy.timeToLive.toMillis(), renewal = 0))
    }

    private suspend fun write(
        expected: LeaseRecord?,
        next: LeaseRecord,
    ) {
        val sentAt = monotonic.markNow()
        val updated =
            lease.update(isApplied = { it == next }) { current ->
                if (current == expected) Change.Write(next) else Change.Refuse(Unit)
            }
        updated.fold(
            success = {
                val isNew = term?.fencing != next.fencing
                term = Term(next.fencing, sentAt)
                if (isNew) listener.onAcquired(next.fencing)
            },
            failure = { error -> if (error is UpdateError.Failed) listener.onError(error.error) },
        )
    }

    private fun endTerm() {
        term?.let { listener.onLost(it.fencing) }
        term = null
    }

    private data class Term(
        val fencing: FencingToken,
        val sentAt: TimeMark,
    )

    /** The record, null if absent, that was last read while another instance or none was the holder. */
    private data class ObservedRecord(
        val record: LeaseRecord?,
        val firstReadAt: TimeMark,
    )

    companion object {
        /** The key of the lease that elects the move controller. */
        val MOVE_CONTROLLER_KEY = ObjectKey("lease/moves")

        private fun Duration.multipliedBy(share: Double): Duration = Duration.ofNanos((toNanos() * share).toLong())
    }
}
