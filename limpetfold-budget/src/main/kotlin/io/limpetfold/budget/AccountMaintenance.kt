package io.limpetfold.budget

import com.github.michaelbull.result.fold
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.UpdateError
import org.slf4j.LoggerFactory
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Synchronises, refills and evicts accounts in the background, and returns their idle tokens. */
internal class AccountMaintenance(
    private val slots: ConcurrentHashMap<WorkspaceId, AccountSlot>,
    private val store: ObjectStore,
    private val ledgerSync: LedgerSync,
    private val ceilingSync: CeilingSync,
    private val refills: AccountRefill,
    private val predecessorSpendLookup: PredecessorSpendLookup,
    private val listener: BudgetListener,
    private val random: Random,
    private val nowMillis: () -> Long,
    private val openWitnessed: () -> Collection<AccountSlot>,
) {
    private val log = LoggerFactory.getLogger(BudgetAgent::class.java)
    private val evictionCounter = AtomicLong()

    /** Evicted accounts whose ledger entry is not closed yet. */
    val closingSlots: MutableSet<AccountSlot> = ConcurrentHashMap.newKeySet()

    /** Evicted accounts whose entry was closed within [CLOSED_SLOTS_KEPT]; a restore of the store can undo the close. */
    private val closedSlots = ArrayDeque<AccountSlot>()

    /** Accounts to confirm after a restore of the store. */
    private val unconfirmedSlots: MutableSet<AccountSlot> = ConcurrentHashMap.newKeySet()

    /** When to close the [closedSlots] once more after a restore of the store. */
    @Volatile
    private var recheckAtMillis = Long.MAX_VALUE

    /** The number of accounts evicted so far; it makes the holder number of the next account unique. */
    val evictedCount: Long get() = evictionCounter.get()

    /** Makes all accounts confirm their totals, also those that were closed recently. */
    fun onStoreRestored() {
        recheckAtMillis = nowMillis() + RECHECK_DELAY.toMillis()
        reopenClosed { true }
        unconfirmedSlots += slots.values.filter { slot -> slot.locked { mayHaveLedgerEntry } }
        unconfirmedSlots += closingSlots
        unconfirmedSlots += openWitnessed()
    }

    /** Makes the accounts of [workspace] that were closed recently close their entries again. */
    fun reopenClosed(workspace: WorkspaceId) = reopenClosed { it.workspace == workspace }

    private fun reopenClosed(isSelected: (AccountSlot) -> Boolean) {
        val selected =
            synchronized(closedSlots) {
                dropOldClosed()
                closedSlots.filter(isSelected).also { closedSlots.removeAll(it.toSet()) }
            }
        selected.forEach { slot -> slot.change { it.closingAgain() } }
        closingSlots += selected
        unconfirmedSlots += selected
    }

    /**
     * Calls the platform for at most [count] workspaces, the least recently synchronised ones first; after a restore of
     * the store for [confirmationCount] workspaces in random order, until all are confirmed.
     */
    suspend fun maintain(
        count: Int,
        confirmationCount: Int,
    ) {
        val now = nowMillis()
        if (now >= recheckAtMillis) {
            recheckAtMillis = Long.MAX_VALUE
            reopenClosed { true }
        }
        if (unconfirmedSlots.isNotEmpty()) return confirm(confirmationCount)
        val due =
            (slots.values + closingSlots)
                .mapNotNull { slot -> slot.locked { lastSyncMillisIfDue(now) }?.let { slot to it } }
                .sortedWith(compareBy({ it.second }, { it.first.workspace.value }, { it.first.holder }))
                .take(count)
        due.forEach { (slot, _) -> if (slot in closingSlots) closeEvicted(slot) else maintain(slot) }
        ceilingSync.raiseLow(slots.values)
    }

    private suspend fun confirm(count: Int) {
        val ordered = unconfirmedSlots.sortedWith(compareBy({ it.workspace.value }, { it.holder }))
        val selected = synchronized(random) { ordered.shuffled(random) }.take(count)
        for (slot in selected) {
            if (slot in closingSlots) closeEvicted(slot) else ledgerSync.synchronise(slot) { _, _ -> 0 }
            if (ledgerSync.isPlatformInBackoff) return
            unconfirmedSlots -= slot
        }
    }

    private suspend fun maintain(slot: AccountSlot) {
        val outcome =
            ceilingSync.synchronise(slot, 0, isStaleResultAllowed = true) { account, balance ->
                if (slot.isLow(nowMillis())) refills.grantFor(slot, 0, account, balance) else 0
            }
        // During an outage of the platform, idle tokens stay in the account, where peers can request them.
        if (outcome !is RefillFailure.Insufficient && outcome !is RefillFailure.UnknownWorkspace) return
        reclaimPredecessor(slot)
        if (evict(slot)) {
            closeEvicted(slot)
        } else if (returnIdle(slot)) {
            ledgerSync.synchronise(slot) { _, _ -> 0 }
        }
    }

    /**
     * Deducts the tokens that the account does not need, or those above its target, unless they are too few to justify
     * a write.
     *
     * @return whether tokens were deducted.
     */
    private fun returnIdle(slot: AccountSlot): Boolean {
        var idleTokens = 0L
        slot.change {
            val now = nowMillis()
            idleTokens = if (slot.isIdle(now)) maxOf(0, it.availableTokens - slot.policy.horizonTokens(it, now)) else 0
            if (idleTokens * 2 < it.availableTokens) idleTokens = slot.excessTokens(now)
            it.returnTokens(idleTokens)
        }
        return idleTokens > 0
    }

    /** Evicts an account without reservations and demand; returns false when it is not evictable. */
    private fun evict(slot: AccountSlot): Boolean {
        slot.locked {
            if (isEvicted || !isEvictable(nowMillis())) return false
            // From here on a caller may open the next account, which needs a new holder number.
            evictionCounter.incrementAndGet()
            closingSlots += slot
            isEvicted = true
            change { it.closing() }
        }
        slots.remove(slot.workspace, slot)
        return true
    }

    private suspend fun closeEvicted(slot: AccountSlot) {
        slot.locked { syncedAtMillis = nowMillis() }
        val error = ledgerSync.close(slot)
        if (error == null) keepClosed(slot) else ledgerSync.recordUnavailable(slot, error.message)
    }

    private fun keepClosed(slot: AccountSlot) {
        closingSlots -= slot
        synchronized(closedSlots) {
            closedSlots.addLast(slot)
            dropOldClosed()
        }
    }

    /** An account that was closed long ago must not be settled again, because its ledger has forgotten it by then. */
    private fun dropOldClosed() {
        val closedAfterMillis = nowMillis() - CLOSED_SLOTS_KEPT.toMillis()
        closedSlots.removeAll { slot -> slot.locked { syncedAtMillis } < closedAfterMillis }
        if (closedSlots.size > MAX_CLOSED_SLOTS) closedSlots.removeFirst()
    }

    /**
     * Closes at most one entry, which bounds the writes of a round; the next synchronisation finds the other entries
     * again.
     */
    private suspend fun reclaimPredecessor(slot: AccountSlot) {
        for (holder in slot.locked { predecessors }) {
            val spentTokens = predecessorSpendLookup.find(holder, slot.workspace) ?: continue
            BudgetLedgerStore(store).reclaim(slot.workspace, holder, spentTokens).fold(
                success = {
                    log.info(
                        "budget: closed the ledger entry of an earlier process workspace={} holder={} writtenOffTokens={}",
                        slot.workspace,
                        holder,
                        it.writtenOffTokens,
                    )
                    listener.onEvent(BudgetEvent.PredecessorClosed(slot.workspace, holder))
                },
                failure = { if (it is UpdateError.Failed) ledgerSync.recordUnavailable(slot, it.error.message) },
            )
            return
        }
    }

    private companion object {
        /** Copies from which the platform restores its store are seconds old. */
        val COPY_AGE_MAX: Duration = Duration.ofSeconds(60)

        /** Longer than witnesses name the holders of closed accounts as possibly open. */
        val CLOSED_SLOTS_KEPT: Duration = CeilingRecords.RECENT.plus(COPY_AGE_MAX)

        /** More than one process evicts within [CLOSED_SLOTS_KEPT]. */
        const val MAX_CLOSED_SLOTS = 256

        /**
         * A write from before the restore can arrive late and undo a close again. Where the process has an account of
         * the workspace it sees that; this is for the other workspaces, and longer than any call to the store takes.
         */
        val RECHECK_DELAY: Duration = Duration.ofSeconds(15)
    }
}
