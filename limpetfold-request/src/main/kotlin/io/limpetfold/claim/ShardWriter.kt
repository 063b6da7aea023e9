package io.limpetfold.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.time.InstantSource
import kotlin.time.TimeSource

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
) {
    private val recent = RecentClaims(policy.maxCopyAge)
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
            withTimeoutOrNull(policy.writeTimeout.toMillis()) {
                writeMutex.withLock { batch.result.complete(write(closeBatch(batch))) }
            }
        } finally {
            closeBatch(batch)
            batch.result.complete(Err(StoreError.OutcomeUnknown("the write took too long")))
        }
    }

    /** Returns the operations of [batch]; later operations open a new one. */
    private fun closeBatch(batch: Batch): List<ShardOperation> =
        synchronized(this) {
            if (open === batch) open = null
            batch.operations.toList()
        }

    /** Writes the claims of this process again in the present era; returns whether all routers have done so. */
    suspend fun restore(
        instance: String,
        required: Set<String>?,
    ): Boolean =
        withTimeoutOrNull(policy.writeTimeout.toMillis()) {
            writeMutex.withLock {
                val own = recent.records()
                shardObject
                    .updateVersioned<Nothing>(isApplied = { false }) {
                        val era = eraOf(it)
                        ShardChange.restore(it.value, own, instance, required, clock.millis(), policy, era)
                    }.fold(
                        success = {
                            val written = observe(it)
                            if (written.shard.era == written.era) {
                                val stored = written.shard.records
                                val restored = own.filter { (hash, record) -> stored[hash]?.token == record.token }
                                recent.onRestored(restored, written.era, timeSource.markNow())
                            }
                            written.isComplete
                        },
                        failure = { false },
                    )
            }
        } ?: false

    private fun eraOf(read: Versioned<ClaimShard>): Long = if (read.value == null) eras.current else read.version.era

    private fun observe(stored: Versioned<ClaimShard>): WrittenShard {
        val value = stored.value ?: return WrittenShard(ClaimShard(era = eras.current), eras.current)
        eras.observe(stored.version.era)
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
                    val written = observe(it)
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
