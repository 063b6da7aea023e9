package io.limpetfold.budget

import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import java.time.Duration
import kotlin.random.Random

/** Requests tokens from other routers and sends tokens on their request. */
internal class PeerTransfers(
    private val self: Incarnation,
    private val peers: PeerNetwork,
    private val random: Random,
    private val listener: BudgetListener,
    private val slotOf: (WorkspaceId) -> AccountSlot?,
) {
    /** Asks peers until [slot] has [tokens], or until the limits of [BudgetPolicy.peersPerAttempt] are reached. */
    suspend fun requestTokens(
        slot: AccountSlot,
        tokens: Long,
        maxWaitMillis: Long,
    ) {
        val peerTimeout = slot.policy.peerTimeout
        val timeout = if (maxWaitMillis > 0) minOf(peerTimeout, Duration.ofMillis(maxWaitMillis)) else peerTimeout
        val candidates = peersByUnspentTokens(slot)
        val maxPeers = if (maxWaitMillis > 0) candidates.size else slot.policy.peersPerAttempt
        candidates.take(maxPeers).forEachIndexed { index, peer ->
            if (slot.locked { account.availableTokens } >= tokens) return
            val receivedTokens = requestFrom(slot, peer, tokens, timeout)
            if (receivedTokens == 0L && index + 1 >= slot.policy.peersPerAttempt) return
        }
    }

    /** The reachable holders in descending order of unspent tokens, with ties in random order. */
    private fun peersByUnspentTokens(slot: AccountSlot): List<Incarnation> {
        val reachable = peers.connectedPeers()
        val unspent = slot.locked { account }.openPeers
        val known = unspent.keys.mapNotNull { Incarnation.parse(it) }.filter { it.instance in reachable }
        return synchronized(random) { known.sorted().shuffled(random) }.sortedByDescending { unspent[it.key] }
    }

    /** Asks [peer] for tokens and returns the number received. */
    private suspend fun requestFrom(
        slot: AccountSlot,
        peer: Incarnation,
        tokens: Long,
        timeout: Duration,
    ): Long {
        val account = slot.locked { account }
        val neededTokens = tokens - account.availableTokens
        val wantedTokens = maxOf(neededTokens, slot.policy.horizonTokens(account))
        val seenTokens = account.receivedTokens[peer.key] ?: 0
        val request = TransferRequest(slot.workspace, peer, slot.holder, neededTokens, wantedTokens, seenTokens)
        val reply = peers.ask(peer.instance, TRANSFER_TOPIC, request, timeout).get()
        if (reply == null || reply.sender != peer) {
            slot.change { it.withPeerTokens(peer.key, 0) }
            return 0
        }
        val after =
            slot.change {
                it
                    .receive(
                        peer.key,
                        reply.totalTokens,
                    ).withPeerTokens(peer.key, reply.availableTokens)
            }
        val receivedTokens = (after.receivedTokens[peer.key] ?: 0) - seenTokens
        if (receivedTokens > 0) {
            listener.onEvent(BudgetEvent.TransferReceived(slot.workspace, peer.instance, receivedTokens))
        }
        return receivedTokens
    }

    /**
     * Handles a request of a peer: deducts the tokens from the own account first, then returns the new total of the
     * pair.
     */
    fun handleRequest(
        from: Incarnation,
        message: TransferRequest,
    ): TransferReply {
        val slot = slotOf(message.workspace)
        val receiver = message.receiver
        val isOwn = receiver.instance == from.instance && receiver.number >= from.number
        if (slot == null || message.sender != slot.holder || !isOwn) return TransferReply(self, 0, 0)
        var sentTokens = 0L
        val after =
            slot.change {
                sentTokens = it.sendableTokens(receiver.key, message, slot.policy.transferFraction)
                it.send(receiver.key, sentTokens)
            }
        if (sentTokens > 0) listener.onEvent(BudgetEvent.TransferSent(slot.workspace, from.instance, sentTokens))
        return TransferReply(slot.holder, after.sentTokens[receiver.key] ?: 0, after.availableTokens)
    }
}
