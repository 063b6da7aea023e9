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
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.time.InstantSource

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
) {
    private val shardObject = TypedObject(store, ObjectKey("claim/$shard"), ClaimShard.serializer())
    private val writeMutex = Mutex()

    /** The batch that still accepts operations, or null. */
    private var open: Batch? = null

    private class Batch {
        val operations = mutableListOf<ShardOperation>()
        val result = CompletableDeferred<Result<ClaimShard, StoreError>>()
    }

    /** Adds [operation] to a batch and returns the shard as it is after the batch was written. */
    suspend fun submit(operation: ShardOperation): Result<ClaimShard, StoreError> {
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

    private suspend fun write(operations: List<ShardOperation>): Result<ClaimShard, StoreError> =
        shardObject
            .update<Nothing>(isApplied = { false }) {
                ShardChange.apply(it, operations, clock.millis(), policy)
            }.fold(
                success = {
                    listener.onWritten(shard, operations.size)
                    Ok(it.value ?: ClaimShard())
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
