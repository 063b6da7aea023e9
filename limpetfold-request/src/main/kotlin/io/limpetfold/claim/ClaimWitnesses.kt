package io.limpetfold.claim

import com.github.michaelbull.result.fold
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * The peers that keep copies of a router's claims, so that a restored store gets them again after the router has ended.
 * Safe for concurrent use; belongs to one [ClaimRegistry].
 *
 * A router of a version without the topic rejects the message. It is then treated as if it were not listed, because
 * otherwise the first routers of a rolling upgrade would refuse all new keys.
 *
 * @param network must not have started yet.
 * @param isInSameZone whether a peer is in the availability zone of this router; such a peer is asked last.
 */
class ClaimWitnesses(
    private val self: InstanceId,
    private val network: PeerNetwork,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val policy: WitnessPolicy = WitnessPolicy(),
    private val isInSameZone: (InstanceId) -> Boolean = { false },
) {
    private val outcomes = ArrayDeque<ClaimOutcome>()

    /** The peers that rejected the topic, and when. */
    private val unsupportedSince = HashMap<InstanceId, TimeMark>()

    internal fun registerHandler(keep: (ClaimCopies) -> ClaimCopiesReply) =
        network.registerHandler(WitnessTopics.COPY) { _, copies -> keep(copies) }

    /** Tells the peers with one of the next messages how a claim ended. */
    @Synchronized
    internal fun onEnded(outcome: ClaimOutcome) {
        outcomes += outcome
        if (outcomes.size > policy.maxOutcomes) outcomes.removeFirst()
    }

    /**
     * Asks peers among [others] to keep [claims]; returns whether enough of them confirmed.
     *
     * @param others the other routers of the fleet, null while they are unknown.
     * @param onEra gets the era of the store that a peer knows.
     */
    internal suspend fun copy(
        claims: List<ClaimCopy>,
        others: Set<InstanceId>?,
        onEra: (Long) -> Unit,
    ): Boolean {
        if (others == null) return false
        val message = ClaimCopies(claims, takeOutcomes())
        val peers = select(others)
        var confirmations = 0
        coroutineScope {
            val replies = Channel<Boolean>(Channel.UNLIMITED)
            val asks = peers.map { launch { replies.send(ask(it, message, onEra)) } }
            var missing = peers.size
            while (missing > 0 && confirmations < policy.requiredPeers) {
                if (replies.receive()) confirmations++
                missing--
            }
            asks.forEach { it.cancel() }
        }
        return confirmations >= minOf(policy.requiredPeers, supporting(others).size)
    }

    /** Sends the outcomes that wait for a message, if there are any. */
    internal suspend fun sendOutcomes(
        others: Set<InstanceId>?,
        onEra: (Long) -> Unit,
    ) {
        val isEmpty = synchronized(this) { outcomes.isEmpty() }
        if (!isEmpty) copy(emptyList(), others, onEra)
    }

    private fun select(others: Set<InstanceId>): List<InstanceId> {
        val candidates = supporting(others).intersect(network.connectedPeers())
        return RendezvousHash
            .rank(self.value, candidates) { it.value }
            .sortedBy { isInSameZone(it) }
            .take(policy.maxAskedPeers)
    }

    private suspend fun ask(
        peer: InstanceId,
        message: ClaimCopies,
        onEra: (Long) -> Unit,
    ): Boolean =
        network.ask(peer, WitnessTopics.COPY, message, policy.confirmTimeout).fold(
            success = {
                onEra(it.era)
                it.isKept
            },
            failure = {
                if (it is PeerError.Rejected && it.isTopicUnknown) onRejected(peer)
                false
            },
        )

    @Synchronized
    private fun takeOutcomes(): List<ClaimOutcome> = outcomes.toList().also { outcomes.clear() }

    @Synchronized
    private fun onRejected(peer: InstanceId) {
        unsupportedSince[peer] = timeSource.markNow()
    }

    @Synchronized
    private fun supporting(others: Set<InstanceId>): Set<InstanceId> {
        unsupportedSince.values.removeIf { it.elapsedNow() >= policy.unsupportedTime.toKotlinDuration() }
        return others - unsupportedSince.keys
    }
}
