package io.limpetfold.budget

import com.github.michaelbull.result.fold
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.sync.withLock
import org.slf4j.LoggerFactory

/** Brings accounts and their ledgers in the platform's store up to date with each other. */
internal class LedgerSync(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val policyOf: (WorkspaceId) -> BudgetPolicy,
    private val paidTotalOf: (WorkspaceId) -> PaidTotal?,
    private val listener: BudgetListener,
    private val isClosed: () -> Boolean,
    private val nowMillis: () -> Long,
) {
    private val log = LoggerFactory.getLogger(BudgetAgent::class.java)

    @Volatile
    private var avoidedUntilMillis = 0L

    /** Whether the platform has just failed, so that a caller's wait is better spent on peers. */
    val isPlatformAvoided: Boolean get() = nowMillis() < avoidedUntilMillis

    /** Lets the next call go to the platform. */
    fun resetPlatformBackoff() {
        avoidedUntilMillis = 0
    }

    /** Reads the ledger and writes what it lacks; returns null or [RefillFailure.Insufficient] when the platform answered. */
    suspend fun synchronise(
        slot: AccountSlot,
        grantSize: (account: LocalAccount, freeTokens: Long, unspentTokens: Long) -> Long,
    ): RefillFailure? =
        slot.platformAccess.withLock {
            slot.policy = policyOf(slot.workspace)
            repeat(2) { round ->
                if (isClosed() || slot.locked { account.state } != AccountState.OPEN) return RefillFailure.Closed
                slot.locked {
                    isRegistering = true
                    syncedAtMillis = nowMillis()
                }
                val snapshot = slot.change { it.writing() }
                var isOwnWriteUnseen = false
                val written =
                    ledger(slot).update<LedgerRefusal>({ (it.holders[slot.holder.key]?.sequence ?: 0) > snapshot.sequence }, isStaleReadAllowed = true) { stored ->
                        val ledger = withPaidTotal(slot.workspace, stored)
                        if (ledger == null) {
                            Change.Refuse(LedgerRefusal.UnknownWorkspace)
                        } else {
                            isOwnWriteUnseen = (ledger.holders[slot.holder.key]?.sequence ?: snapshot.sequence) != snapshot.sequence
                            ledger.update(slot.holder, snapshot.update()) { grantSize(snapshot, it, ledger.unspentTokens) }.fold(
                                success = { if (it === stored) Change.Keep else Change.Write(it) },
                                failure = { Change.Refuse(it) },
                            )
                        }
                    }
                val failure = written.fold({ observed(slot, it) }, { failureOf(slot, it) })
                // A write with a lost answer was found and credited; what it lacks is written in a second round.
                if (round > 0 || failure !is RefillFailure.Insufficient || !isOwnWriteUnseen) return failure
            }
            null
        }

    private fun withPaidTotal(
        workspace: WorkspaceId,
        stored: BudgetLedger?,
    ): BudgetLedger? {
        val total = paidTotalOf(workspace) ?: return stored
        return (stored ?: BudgetLedger()).withPaidTotal(total)
    }

    private fun observed(
        slot: AccountSlot,
        seen: Versioned<BudgetLedger>,
    ): RefillFailure {
        val ledger = checkNotNull(seen.value) { "an accepted change leaves a ledger" }
        avoidedUntilMillis = 0
        val before = slot.locked { account }
        val after = slot.change { it.observe(ledger, seen.version) }
        if (after.state == AccountState.ENDED) logEnded(slot)
        val predecessors = predecessorsIn(ledger)
        slot.locked {
            this.predecessors = predecessors
            freeTokensSeen = maxOf(0, ledger.freeTokens)
            mostHeldTokens = policy.mostHeldTokens(after, ledger.freeTokens, ledger.unspentTokens)
            sharedFreeTokens = (maxOf(0, ledger.freeTokens) * policy.minAccountFraction).toLong()
        }
        listener.onEvent(BudgetEvent.Synchronised(slot.workspace, after.acquiredTokens - before.acquiredTokens, ledger.freeTokens))
        return RefillFailure.Insufficient(0, ledger.freeTokens)
    }

    private fun predecessorsIn(ledger: BudgetLedger): ImmutableList<Incarnation> =
        ledger.holders
            .filter { (key, entry) -> !entry.isEnded && key.startsWith(self.instance.value) }
            .mapNotNull { Incarnation.parse(it.key) }
            .filter { it.instance == self.instance && it.number < self.number }
            .toImmutableList()

    private fun failureOf(
        slot: AccountSlot,
        error: UpdateError<LedgerRefusal>,
    ): RefillFailure =
        when (error) {
            is UpdateError.Failed -> unavailable(slot, error.error.message)
            is UpdateError.Refused ->
                when (val reason = error.reason) {
                    is LedgerRefusal.UnknownWorkspace -> RefillFailure.UnknownWorkspace
                    is LedgerRefusal.HolderEnded -> {
                        slot.change { it.copy(state = AccountState.ENDED) }
                        logEnded(slot)
                        RefillFailure.Closed
                    }
                    else -> unavailable(slot, reason.message)
                }
        }

    /** Notes that the platform failed, so that callers avoid it for a moment. */
    fun unavailable(
        slot: AccountSlot,
        message: String,
    ): RefillFailure {
        avoidedUntilMillis = nowMillis() + slot.policy.maxRetryDelay.toMillis()
        listener.onEvent(BudgetEvent.PlatformFailed(slot.workspace, message))
        return RefillFailure.Unavailable(message)
    }

    private fun logEnded(slot: AccountSlot) =
        log.warn("budget: the entry was reclaimed while its holder runs workspace={} holder={}", slot.workspace, slot.holder)

    /** Closes the entry of an account that is closing, and returns why that failed. */
    suspend fun close(slot: AccountSlot): StoreError? =
        slot.platformAccess.withLock {
            val account = slot.locked { account }
            if (account.state != AccountState.CLOSING) return null
            if (slot.locked { isRegistering }) {
                val error =
                    ledger(slot)
                        .update<Nothing>({ it.holders[slot.holder.key]?.isEnded ?: true }) { ledger ->
                            val closed = ledger?.close(slot.holder, account.update())
                            if (closed == null || closed === ledger) Change.Keep else Change.Write(closed)
                        }.fold({ null }, { (it as UpdateError.Failed).error })
                if (error != null) return error
            }
            slot.change { it.copy(state = AccountState.CLOSED) }
            null
        }

    private fun ledger(slot: AccountSlot) =
        TypedObject(store, BudgetLedgerStore.keyOf(slot.workspace), BudgetLedger.serializer())
}
