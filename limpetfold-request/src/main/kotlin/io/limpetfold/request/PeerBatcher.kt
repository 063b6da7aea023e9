package io.limpetfold.request

import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/**
 * Sends journal records in batches, one open batch for each peer; safe for concurrent use.
 *
 * The caller that opens a batch waits for the window and sends it for all, even when it is cancelled meanwhile.
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

    private val open = HashMap<InstanceId, Batch>()

    /** Sends the records of [batch] to [peer] together with others and returns whether the peer acknowledged them. */
    suspend fun send(
        peer: InstanceId,
        batch: JournalBatch,
    ): Boolean {
        var isLeader = false
        val joined =
            synchronized(open) {
                open.getOrPut(peer) { Batch().also { isLeader = true } }.also {
                    it.opened += batch.opened
                    it.closed += batch.closed
                }
            }
        if (isLeader) withContext(NonCancellable) { lead(peer, joined) }
        return joined.isAcknowledged.await()
    }

    private suspend fun lead(
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
            isAcknowledged = network.ask(peer, JournalTopics.COPY, message, policy.acknowledgeWithin).isOk
        } finally {
            synchronized(open) { open.remove(peer, batch) }
            batch.isAcknowledged.complete(isAcknowledged)
        }
    }
}
