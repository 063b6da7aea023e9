package io.limpetfold.budget

import com.github.michaelbull.result.fold
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.UpdateError
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Keeps accounts and their ledgers up to date between calls: refills, returns, and closes what is not used any more. */
internal class AccountMaintenance(
    private val slots: ConcurrentHashMap<WorkspaceId, AccountSlot>,
    private val store: ObjectStore,
    private val ledgers: LedgerSync,
    private val refills: AccountRefill,
    private val predecessorSpend: PredecessorSpendLookup,
    private val nowMillis: () -> Long,
) {
    private val log = LoggerFactory.getLogger(BudgetAgent::class.java)
    private val closedCount = AtomicLong()

    /** Forgotten accounts whose ledger entry is not closed yet. */
    val leaving: MutableSet<AccountSlot> = ConcurrentHashMap.newKeySet()

    /** Accounts that were forgotten so far; the next account of a workspace needs a new holder. */
    val forgottenCount: Long get() = closedCount.get()

    /** Calls the platform for at most [count] workspaces, those longest not synchronised first. */
    suspend fun maintain(count: Int) {
        val now = nowMillis()
        val due =
            (slots.values + leaving)
                .mapNotNull { slot -> slot.locked { maintainedAtMillis(now) }?.let { slot to it } }
                .sortedBy { (_, maintainedAt) -> maintainedAt }
                .take(count)
        due.forEach { (slot, _) -> if (slot in leaving) closeForgotten(slot) else maintain(slot) }
    }

    private suspend fun maintain(slot: AccountSlot) {
        val outcome =
            ledgers.synchronise(slot) { account, free, unspent ->
                if (slot.isLow(nowMillis())) refills.grantFor(slot, 0, account, free, unspent) else 0
            }
        // While the platform is down, idle tokens stay where peers can get them.
        if (outcome !is RefillFailure.Insufficient && outcome !is RefillFailure.UnknownWorkspace) return
        reclaimPredecessor(slot)
        if (forget(slot)) {
            closeForgotten(slot)
        } else if (returnIdle(slot)) {
            ledgers.synchronise(slot) { _, _, _ -> 0 }
        }
    }

    /** Lowers the account by what it does not need, or by what is above its target, unless that is too little for a write; true when it was. */
    private fun returnIdle(slot: AccountSlot): Boolean {
        var idleTokens = 0L
        slot.change {
            val now = nowMillis()
            idleTokens = if (slot.isIdle(now)) maxOf(0, it.availableTokens - slot.policy.wantedTokens(it, now)) else 0
            if (idleTokens * 2 < it.availableTokens) idleTokens = slot.excessTokens(now)
            it.returning(idleTokens)
        }
        return idleTokens > 0
    }

    /** Ends the use of an account that has nothing left to charge or to keep; false when it has. */
    private fun forget(slot: AccountSlot): Boolean {
        slot.locked {
            if (isForgotten || !isForgettable(nowMillis())) return false
            // From here on a caller may open the next account, which needs a new number.
            closedCount.incrementAndGet()
            leaving += slot
            isForgotten = true
            change { it.closing() }
        }
        slots.remove(slot.workspace, slot)
        return true
    }

    private suspend fun closeForgotten(slot: AccountSlot) {
        slot.locked { syncedAtMillis = nowMillis() }
        val error = ledgers.close(slot)
        if (error == null) leaving -= slot else ledgers.unavailable(slot, error.message)
    }

    /** Closes at most one entry, so that a round makes a bounded number of writes; the next read shows the others again. */
    private suspend fun reclaimPredecessor(slot: AccountSlot) {
        for (holder in slot.locked { predecessors }) {
            val spentTokens = predecessorSpend.find(holder, slot.workspace) ?: continue
            BudgetLedgerStore(store).reclaim(slot.workspace, holder, spentTokens).fold(
                success = { log.info("budget: closed the entry of an ended process workspace={} holder={}", slot.workspace, holder) },
                failure = { if (it is UpdateError.Failed) ledgers.unavailable(slot, it.error.message) },
            )
            return
        }
    }
}
