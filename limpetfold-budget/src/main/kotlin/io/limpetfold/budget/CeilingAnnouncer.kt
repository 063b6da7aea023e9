package io.limpetfold.budget

import com.github.michaelbull.result.fold
import io.limpetfold.budget.CeilingAcknowledgements.Acknowledgement
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Tells other routers the ceilings of this router's accounts before the accounts acquire tokens.
 *
 * After a restore of the store these witnesses name the holders that the copy lacks.
 */
internal class CeilingAnnouncer(
    private val self: Incarnation,
    private val peers: PeerNetwork,
    private val candidates: WitnessCandidates,
    private val nowMillis: () -> Long,
) {
    /** When routers of an earlier version said that they do not know the topic. */
    private val unableAtMillis = ConcurrentHashMap<InstanceId, Long>()

    /** When routers did not acknowledge an announcement. */
    private val silentAtMillis = ConcurrentHashMap<InstanceId, Long>()

    /** The tokens that [slot] may acquire from [ledger] besides those that it has acquired. */
    fun headroomTokens(
        slot: AccountSlot,
        ledger: BudgetLedger,
    ): Long = slot.locked { headroomTokens { ledger.holders[it]?.isEnded == false } }

    /** Raises the ceiling of [slot] if a grant for [tokens] would exceed it or it was announced long ago. */
    suspend fun prepare(
        slot: AccountSlot,
        tokens: Long,
    ) {
        val isDue = slot.locked { headroomTokens { isOpen(it) } < nextGrantTokens(tokens) || isRefreshDue() }
        if (isDue) announce(slot, tokens)
    }

    /** Whether the ceiling of [slot] is to be raised before it limits a grant. */
    fun isLow(slot: AccountSlot): Boolean = slot.locked { headroomTokens { isOpen(it) } < headroomTarget(0) / 2 }

    /** Raises the ceiling of [slot] by a grant for [tokens] and some more; returns whether that was acknowledged. */
    suspend fun announce(
        slot: AccountSlot,
        tokens: Long,
    ): Boolean {
        val ceilingTokens =
            slot.locked {
                mayHaveLedgerEntry = true
                account.acquiredTokens + maxOf(nextGrantTokens(tokens), headroomTarget(tokens))
            }
        val requiredCount = requiredWitnesses()
        var remaining = slot.locked { notAcknowledged(ceilingTokens) }.take(MAX_ASKED)
        while (true) {
            val missing = requiredCount - slot.locked { acknowledgedCount(ceilingTokens) }
            if (missing <= 0) return true
            if (remaining.isEmpty()) return false
            val asked = remaining.take(missing)
            remaining = remaining.drop(missing)
            coroutineScope { asked.map { async { ask(slot, it, ceilingTokens) } }.awaitAll() }
        }
    }

    private suspend fun ask(
        slot: AccountSlot,
        witness: InstanceId,
        ceilingTokens: Long,
    ) {
        val message = CeilingAnnouncement(slot.workspace, slot.holder, ceilingTokens)
        peers.ask(witness, CEILING_TOPIC, message, slot.policy.peerTimeout).fold(
            success = { reply ->
                if (reply.isRecorded) {
                    silentAtMillis -= witness
                    slot.locked { ceilings = ceilings.plus(witness, reply, ceilingTokens, nowMillis()) }
                } else {
                    silentAtMillis[witness] = nowMillis()
                }
            },
            failure = { error ->
                val rejections =
                    if (error is PeerError.Rejected &&
                        error.isTopicUnknown
                    ) {
                        unableAtMillis
                    } else {
                        silentAtMillis
                    }
                rejections[witness] = nowMillis()
            },
        )
    }

    private fun AccountSlot.headroomTokens(isOpen: (String) -> Boolean): Long {
        val count = requiredWitnesses()
        if (count == 0) return Long.MAX_VALUE
        val reachable = candidates.preferredFirst()
        val ceilingTokens =
            ceilings.ceilingTokens(
                count,
            ) { witness, known -> known.isValid(witness, reachable, isOpen) }
        return maxOf(0, ceilingTokens - account.acquiredTokens)
    }

    /**
     * A witness whose entry is gone may have ended since, and no recovery would wait for it. Of a router without an
     * entry only the membership tells whether it runs.
     */
    private fun Acknowledgement.isValid(
        witness: InstanceId,
        reachable: List<InstanceId>,
        isOpen: (String) -> Boolean,
    ): Boolean = if (holder != null) isOpen(holder) else reachable.isEmpty() || witness in reachable

    private fun AccountSlot.isOpen(holder: String) = account.sequence == 0L || holder in account.openPeers

    private fun AccountSlot.isRefreshDue(): Boolean =
        availableWitnesses().count { ceilings.of(it)?.isRecent() == true } < requiredWitnesses()

    private fun Acknowledgement.isRecent() = atMillis >= nowMillis() - REFRESH.toMillis()

    private fun AccountSlot.acknowledgedCount(ceilingTokens: Long): Int =
        availableWitnesses().count { hasAcknowledged(it, ceilingTokens) }

    /** The holders of the workspace first, because a recovery waits for them. */
    private fun AccountSlot.notAcknowledged(ceilingTokens: Long): List<InstanceId> {
        val holders = account.openPeers.keys.mapNotNullTo(HashSet()) { Incarnation.parse(it)?.instance }
        return availableWitnesses()
            .filter { !hasAcknowledged(it, ceilingTokens) }
            .sortedBy { if (it in holders) 0 else 1 }
    }

    private fun AccountSlot.hasAcknowledged(
        witness: InstanceId,
        ceilingTokens: Long,
    ): Boolean {
        val known = ceilings.of(witness) ?: return false
        return known.isRecent() &&
            known.ceilingTokens >= ceilingTokens &&
            (known.holder == null || isOpen(known.holder))
    }

    private fun availableWitnesses(): List<InstanceId> =
        candidates.preferredFirst().filter { witness ->
            witness != self.instance &&
                !unableAtMillis.isRecent(witness, UNABLE) &&
                !silentAtMillis.isRecent(witness, SILENT)
        }

    private fun Map<InstanceId, Long>.isRecent(
        witness: InstanceId,
        validity: Duration,
    ): Boolean = this[witness]?.let { nowMillis() - it < validity.toMillis() } == true

    /**
     * Callers don't wait for routers that can't reply: without any other router that can be a witness there is no
     * ceiling, and a recovery may not know of this holder.
     */
    private fun requiredWitnesses(): Int = minOf(MAX_WITNESSES, availableWitnesses().size)

    /** The next grant as far as it is known. */
    private fun AccountSlot.nextGrantTokens(tokens: Long): Long =
        maxOf(limitedGrantTokens, maxOf(tokens, waitingTokens) - account.availableTokens, 0)

    private fun AccountSlot.headroomTarget(tokens: Long): Long {
        val demandTokens = account.demand.tokensFor(DEMAND_TIME)
        val wantedTokens = maxOf(2 * wantedGrantTokens, demandTokens, RESERVATIONS * tokens)
        return minOf(wantedTokens, unspentTokensSeen / MAX_UNSPENT_DIVISOR)
    }

    private companion object {
        /** So many routers can end around a restore before nobody knows the ceiling of one of them. */
        const val MAX_WITNESSES = 3

        /** Bounds the messages of one announcement, and the time that a call waits, while routers do not reply. */
        const val MAX_ASKED = 6

        const val RESERVATIONS = 4L

        /** A ceiling exceeds what the account has acquired by at most this part of what is unspent. */
        const val MAX_UNSPENT_DIVISOR = 8

        /** Several intervals of maintenance, which raises ceilings in the background. */
        val DEMAND_TIME: Duration = Duration.ofSeconds(20)

        /** A witness without an entry that was started again since has forgotten the ceiling. */
        val REFRESH: Duration = Duration.ofSeconds(30)

        /** After this time a router that did not acknowledge is asked again. */
        val SILENT: Duration = Duration.ofSeconds(2)

        /** After this time a router of an earlier version may have been replaced. */
        val UNABLE: Duration = Duration.ofSeconds(60)
    }
}
