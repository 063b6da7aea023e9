package io.limpetfold.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.InstanceId
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.time.Duration
import java.time.InstantSource
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Writes the operations of one shard in batches.
 *
 * The caller that opens a batch is its leader: it waits for the batch window and then writes the operations of all
 * callers. Cancelling the leader does not cancel the write, because the other callers of the batch depend on it.
 */
internal class ShardWriter(
    private val shard: Int,
    store: ObjectStore,
    private val clock: InstantSource,
    private val policy: ClaimPolicy,
    private val listener: ClaimListener,
    private val timeSource: TimeSource,
    private val eras: ClaimEras,
    private val peerCopies: PeerCopies?,
) {
    private val recent = RecentClaims(policy.maxCopyAge)
    private val witnessed =
        WitnessedClaims(policy.maxClaimsPerShard, policy.maxCopyAge + policy.maxWriteDuration)
    private val shardObject = TypedObject(store, ObjectKey("claim/$shard"), ClaimShard.serializer())
    private val writeMutex = Mutex()

    /** The batch that still accepts operations, or null. */
    private var open: Batch? = null

    private class Batch {
        val operations = mutableListOf<ShardOperation>()
        val result = CompletableDeferred<Result<WrittenShard, StoreError>>()
    }

    /** Adds [operation] to a batch and returns the shard as it is after the batch was written. */
    suspend fun submit(operation: ShardOperation): Result<WrittenShard, StoreError> {
        recent.onSubmitted(operation)
        var isLeader = false
        val batch =
            synchronized(this) {
                (open ?: Batch().also { isLeader = true }).also {
                    it.operations += operation
                    open = it
                }
            }
        if (isLeader) withContext(NonCancellable) { writeAsLeader(batch) }
        return batch.result.await()
    }

    private suspend fun writeAsLeader(batch: Batch) {
        try {
            if (policy.batchWindow.isZero) yield() else delay(policy.batchWindow.toMillis())
            withTimeoutOrNull(policy.writeTimeout.toMillis()) { batch.result.complete(writeAndCopy(batch)) }
        } finally {
            closeBatch(batch)
            batch.result.complete(Err(StoreError.OutcomeUnknown("the write took too long")))
        }
    }

    /** Writes [batch] while peers are asked to keep its claims; the next batch doesn't wait for the peers. */
    private suspend fun writeAndCopy(batch: Batch): Result<WrittenShard, StoreError> =
        coroutineScope {
            var copies: Deferred<Boolean>? = null
            val sentAt = timeSource.markNow()
            val sentAtWall = clock.instant()
            val written =
                writeMutex.withLock {
                    val operations = closeBatch(batch)
                    copies = copyAsync(operations)
                    write(operations)
                }
            val isKept = copies?.await()
            // A peer counts the time for which it keeps a claim from its receipt, so the write must follow soon. As for
            // the forward, a pause of a whole machine shows on the wall clock only.
            val isTimely =
                sentAt.elapsedNow() < policy.maxWriteDuration.toKotlinDuration() &&
                    Duration.between(sentAtWall, clock.instant()) < policy.maxWriteDuration
            written.map { WrittenShard(it.shard, it.era, hasCopies = isKept == null || (isKept && isTimely)) }
        }

    private fun CoroutineScope.copyAsync(operations: List<ShardOperation>): Deferred<Boolean>? {
        val peers = peerCopies ?: return null
        val era = eras.current
        val copies =
            operations.filterIsInstance<ShardOperation.Acquire>().map {
                ClaimCopy(shard, it.hash, ClaimRecord(it.token, it.claimedAtMillis), era)
            }
        return if (copies.isEmpty()) null else async { peers.send(copies) }
    }

    /**
     * Keeps a claim of another router; returns whether it will be written in each era after that of [copy].
     *
     * A claim of an earlier era than the present one may come after this process has written the shard again.
     */
    fun keep(copy: ClaimCopy): Boolean {
        eras.observe(copy.era)
        if (eras.current > copy.era || !witnessed.add(copy, timeSource.markNow())) return false
        if (eras.current == copy.era) return true
        witnessed.onEnded(copy.record.token, ClaimRecord.UNFINISHED)
        return false
    }

    /** Takes note of how a claim of another router ended. */
    fun onPeerClaimEnded(outcome: ClaimOutcome) = witnessed.onEnded(outcome.token, outcome.status)

    /** All claims that this process would write again after a restore. */
    fun copies(): List<ClaimCopy> =
        recent.copies(shard) + witnessed.snapshot().map { ClaimCopy(shard, it.hash, it.record, it.era) }

    /** Drops old claims of other routers; returns whether some wait for a response of the store. */
    fun expireWitnessed(): Boolean {
        eras.latestResponse()?.let { witnessed.expire(it.era, it.sentAt) }
        return witnessed.hasOldClaims()
    }

    /** Reads the shard to learn the era of the store. */
    suspend fun readEra() {
        val sentAt = timeSource.markNow()
        shardObject.read().onSuccess { observe(it, sentAt) }
    }

    /** Returns the operations of [batch]; later operations open a new one. */
    private fun closeBatch(batch: Batch): List<ShardOperation> =
        synchronized(this) {
            if (open === batch) open = null
            batch.operations.toList()
        }

    /** Writes the claims of this process again in the present era; returns whether all routers have done so. */
    suspend fun restore(
        instance: InstanceId,
        required: Set<String>?,
    ): Boolean =
        withTimeoutOrNull(policy.writeTimeout.toMillis()) {
            writeMutex.withLock {
                val own = recent.records()
                val sentAt = timeSource.markNow()
                var kept = emptyList<WitnessedClaim>()
                shardObject
                    .updateVersioned<Nothing>(isApplied = { false }) {
                        val era = eraOf(it)
                        // Known before the claims are read, so that none is confirmed that this write leaves out.
                        eras.observe(era)
                        kept = witnessed.snapshot()
                        val claims = RestoredClaims(instance, own, kept, required)
                        ShardChange.restore(it.value, claims, clock.millis(), policy, era)
                    }.fold(
                        success = {
                            val written = observe(it, sentAt)
                            if (written.shard.era == written.era) {
                                val stored = written.shard.records
                                val restored = own.filter { (hash, record) -> stored[hash]?.token == record.token }
                                recent.onRestored(restored, written.era, timeSource.markNow())
                                witnessed.onRestored(kept, written.era, timeSource.markNow())
                            }
                            written.isComplete
                        },
                        failure = { false },
                    )
            }
        } ?: false

    private fun eraOf(read: Versioned<ClaimShard>): Long = if (read.value == null) eras.current else read.version.era

    private fun observe(
        stored: Versioned<ClaimShard>,
        sentAt: TimeMark,
    ): WrittenShard {
        val value = stored.value ?: return WrittenShard(ClaimShard(era = eras.current), eras.current)
        eras.observe(stored.version.era)
        eras.onResponse(stored.version.era, sentAt)
        return WrittenShard(value, stored.version.era)
    }

    private suspend fun write(operations: List<ShardOperation>): Result<WrittenShard, StoreError> {
        val sentAt = timeSource.markNow()
        return shardObject
            .updateVersioned<Nothing>(isApplied = { false }) {
                ShardChange.apply(it.value, operations, clock.millis(), policy, eraOf(it))
            }.fold(
                success = {
                    listener.onWritten(shard, operations.size)
                    val written = observe(it, sentAt)
                    if (written.isComplete) {
                        recent.onStored(written.shard, operations, written.era, sentAt, timeSource.markNow())
                    }
                    Ok(written)
                },
                failure = {
                    val error =
                        when (it) {
                            is UpdateError.Failed -> it.error
                            is UpdateError.Refused -> StoreError.Rejected("a claim change is never refused")
                        }
                    listener.onWriteFailed(shard, error)
                    Err(error)
                },
            )
    }
}
