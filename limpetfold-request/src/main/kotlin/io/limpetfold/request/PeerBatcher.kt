package io.limpetfold.request

import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/**
 * Sends journal records to peers in batches, with one open batch for each peer; safe for concurrent use.
 *
 * The caller that opens a batch is its leader: it waits for the batch window and then sends the records of all callers.
 * Cancelling the leader does not cancel the send, because the other callers of the batch depend on it.
 */
internal class PeerBatcher(
    private val network: PeerNetwork,
    private val policy: JournalPolicy,
) {
    private class Batch {
        val opened = mutableListOf<OpenedRecord>()
        val closed = mutableListOf<ClosedRecord>()
        val isAcknowledged = CompletableDeferred<Boolean>()
    }

    /** The batch of each peer that still accepts records. */
    private val open = HashMap<InstanceId, Batch>()

    /** Sends the records of [batch] to [peer] in a batch with others; returns whether the peer acknowledged them. */
    suspend fun send(
        peer: InstanceId,
        batch: JournalBatch,
    ): Boolean {
        var isLeader = false
        val joinedBatch =
            synchronized(open) {
                open.getOrPut(peer) { Batch().also { isLeader = true } }.also {
                    it.opened += batch.opened
                    it.closed += batch.closed
                }
            }
        if (isLeader) withContext(NonCancellable) { sendAsLeader(peer, joinedBatch) }
        return joinedBatch.isAcknowledged.await()
    }

    private suspend fun sendAsLeader(
        peer: InstanceId,
        batch: Batch,
    ) {
        var isAcknowledged = false
        try {
            delay(policy.batchWindow.toMillis())
            val message =
                synchronized(open) {
                    open.remove(peer)
                    JournalBatch(batch.opened.toList(), batch.closed.toList())
                }
            isAcknowledged = network.ask(peer, JournalTopics.COPY, message, policy.acknowledgeTimeout).isOk
        } finally {
            synchronized(open) { open.remove(peer, batch) }
            batch.isAcknowledged.complete(isAcknowledged)
        }
    }
}
