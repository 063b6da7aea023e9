package io.limpetfold.budget

import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import java.time.Duration
import kotlin.random.Random

/** Exchanges tokens with other routers. */
internal class PeerTransfers(
    private val self: Incarnation,
    private val peers: PeerNetwork,
    private val random: Random,
    private val listener: BudgetListener,
    private val slotOf: (WorkspaceId) -> AccountSlot?,
) {
    /** Asks peers until [slot] has [tokens] or enough of them gave nothing. */
    suspend fun ask(
        slot: AccountSlot,
        tokens: Long,
        maxWaitMillis: Long,
    ) {
        val timeout = if (maxWaitMillis > 0) minOf(slot.policy.peerTimeout, Duration.ofMillis(maxWaitMillis)) else slot.policy.peerTimeout
        val asked = peersByUnspentTokens(slot)
        asked.take(if (maxWaitMillis > 0) asked.size else slot.policy.peersAsked).forEachIndexed { index, peer ->
            if (slot.locked { account.availableTokens } >= tokens) return
            val receivedTokens = askPeer(slot, peer, tokens, timeout)
            if (receivedTokens == 0L && index + 1 >= slot.policy.peersAsked) return
        }
    }

    /** The reachable holders, those with the most unspent tokens first and equal ones in random order. */
    private fun peersByUnspentTokens(slot: AccountSlot): List<Incarnation> {
        val reachable = peers.connectedPeers()
        val unspent = slot.locked { account }.openPeers
        val known = unspent.keys.mapNotNull { Incarnation.parse(it) }.filter { it.instance in reachable }
        return synchronized(random) { known.sorted().shuffled(random) }.sortedByDescending { unspent[it.key] }
    }

    /** Returns the tokens that the peer gave. */
    private suspend fun askPeer(
        slot: AccountSlot,
        peer: Incarnation,
        tokens: Long,
        timeout: Duration,
    ): Long {
        val account = slot.locked { account }
        val neededTokens = tokens - account.availableTokens
        val wantedTokens = maxOf(neededTokens, slot.policy.wantedTokens(account))
        val seenTokens = account.receivedTokens[peer.key] ?: 0
        val request = TransferRequest(slot.workspace, peer, slot.holder, neededTokens, wantedTokens, seenTokens)
        val reply = peers.ask(peer.instance, TRANSFER_TOPIC, request, timeout).get()
        if (reply == null || reply.sender != peer) {
            slot.change { it.heard(peer.key, 0) }
            return 0
        }
        val after = slot.change { it.receive(peer.key, reply.totalTokens).heard(peer.key, reply.availableTokens) }
        val receivedTokens = (after.receivedTokens[peer.key] ?: 0) - seenTokens
        if (receivedTokens > 0) listener.onEvent(BudgetEvent.TransferReceived(slot.workspace, peer.instance, receivedTokens))
        return receivedTokens
    }

    /** Answers a peer that needs tokens: lowers the own account first, then tells the total. */
    fun give(
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
                sentTokens = it.sendable(receiver.key, message, slot.policy.transferFraction)
                it.send(receiver.key, sentTokens)
            }
        if (sentTokens > 0) listener.onEvent(BudgetEvent.TransferSent(slot.workspace, from.instance, sentTokens))
        return TransferReply(slot.holder, after.sentTokens[receiver.key] ?: 0, after.availableTokens)
    }
}
