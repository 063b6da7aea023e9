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

/**
 * Synchronises accounts with their ledgers in the platform's object store.
 *
 * @param headroomOf the tokens that an account may acquire from a ledger within its ceiling.
 * @param witnessedOf the holders of a workspace that announced their ceilings to this router.
 * @param onRecovery called when an account sees the beginning of a recovery of its ledger.
 */
internal class LedgerSync(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val policyOf: (WorkspaceId) -> BudgetPolicy,
    private val paidTotalOf: (WorkspaceId) -> PaidTotal?,
    private val listener: BudgetListener,
    private val isClosed: () -> Boolean,
    private val nowMillis: () -> Long,
    private val headroomOf: (AccountSlot, BudgetLedger) -> Long,
    private val witnessedOf: (WorkspaceId) -> WitnessedHolders,
    private val onRecovery: (WorkspaceId) -> Unit,
) {
    private val log = LoggerFactory.getLogger(BudgetAgent::class.java)

    @Volatile
    private var backoffUntilMillis = 0L

    /** Whether a call to the platform failed within the backoff, so that callers ask peers instead. */
    val isPlatformInBackoff: Boolean get() = nowMillis() < backoffUntilMillis

    /** Ends the backoff, so that the next attempt calls the platform. */
    fun resetPlatformBackoff() {
        backoffUntilMillis = 0
    }

    /**
     * Reads the ledger, records the totals of the account and requests [grantSize] tokens.
     *
     * Returns [RefillFailure.Insufficient] with the free tokens also after a success; the caller compares the available
     * tokens of the account with its need.
     *
     * @param isStaleResultAllowed whether a ledger of some seconds ago will do where nothing is written.
     */
    suspend fun synchronise(
        slot: AccountSlot,
        isStaleResultAllowed: Boolean = false,
        grantSize: (account: LocalAccount, balance: LedgerBalance) -> Long,
    ): RefillFailure? =
        slot.platformAccess.withLock {
            slot.policy = policyOf(slot.workspace)
            repeat(2) { round ->
                if (isClosed() || slot.locked { account.state } != AccountState.OPEN) return RefillFailure.Closed
                slot.locked {
                    mayHaveLedgerEntry = true
                    syncedAtMillis = nowMillis()
                    limitedGrantTokens = 0
                }
                val snapshot = slot.change { it.withWriteStarted() }
                var isRepeatNeeded = false
                val written =
                    ledger(slot).updateVersioned<LedgerRefusal>({
                        isRecorded(it, slot.holder.key, snapshot.sequence)
                    }, isStaleReadAllowed = true, isStaleResultAllowed) { stored ->
                        val ledger = withPaidTotal(slot.workspace, stored.value?.asReadAt(stored.version))
                        if (ledger == null) {
                            Change.Refuse(LedgerRefusal.UnknownWorkspace)
                        } else if (stored.value == null) {
                            isRepeatNeeded = true
                            Change.Write(ledger)
                        } else {
                            isRepeatNeeded =
                                (ledger.holders[slot.holder.key]?.sequence ?: snapshot.sequence) != snapshot.sequence
                            ledger
                                .update(slot.holder, updateOf(slot, snapshot, ledger)) { balance ->
                                    limitedGrant(slot, ledger, grantSize(snapshot, balance))
                                }.fold(
                                    success = { if (it === stored.value) Change.Keep else Change.Write(it) },
                                    failure = { Change.Refuse(it) },
                                )
                        }
                    }
                val failure = written.fold({ applyLedger(slot, it) }, { failureOf(slot, it) })
                // The ledger was created, or held an earlier write whose response was lost, which is credited now. The
                // second round writes the rest.
                if (round > 0 || failure !is RefillFailure.Insufficient || !isRepeatNeeded) return failure
            }
            null
        }

    private fun updateOf(
        slot: AccountSlot,
        account: LocalAccount,
        ledger: BudgetLedger,
    ): HolderUpdate =
        account.update().copy(
            mayEndRecovery = mayEndRecovery(slot, ledger),
            witnessed = witnessedOf(slot.workspace),
        )

    /** The part of [wantedTokens] that the ceiling of the account allows. */
    private fun limitedGrant(
        slot: AccountSlot,
        ledger: BudgetLedger,
        wantedTokens: Long,
    ): Long {
        val headroomTokens = headroomOf(slot, ledger)
        slot.locked {
            wantedGrantTokens = wantedTokens
            limitedGrantTokens = if (wantedTokens > headroomTokens) wantedTokens else 0
        }
        return minOf(wantedTokens, headroomTokens)
    }

    private fun isRecorded(
        stored: Versioned<BudgetLedger>,
        key: String,
        knownSequence: Long,
    ): Boolean {
        val ledger = stored.value ?: return false
        val entry = ledger.holders[key] ?: return false
        return ledger.isWrittenInEraOf(stored.version) &&
            entry.confirmedAt == ledger.recoveryBegunAt &&
            entry.sequence > knownSequence
    }

    private fun mayEndRecovery(
        slot: AccountSlot,
        ledger: BudgetLedger,
    ): Boolean = slot.locked { recoverySeen == ledger.recoveryBegunAt && isRecoveryWaitOver(nowMillis()) }

    /**
     * The ledger with the paid total of the configuration; a new one without entries where [stored] is null.
     *
     * A new ledger is written before anything is granted from it: its version tells whether a restore of the store may
     * have lost an earlier one, whose holders then confirm their totals first.
     */
    private fun withPaidTotal(
        workspace: WorkspaceId,
        stored: BudgetLedger?,
    ): BudgetLedger? {
        val total = paidTotalOf(workspace) ?: return stored
        return (stored ?: BudgetLedger()).withPaidTotal(total)
    }

    private fun applyLedger(
        slot: AccountSlot,
        seen: Versioned<BudgetLedger>,
    ): RefillFailure {
        val ledger = checkNotNull(seen.value) { "an accepted change leaves a ledger" }
        backoffUntilMillis = 0
        val before = slot.locked { account }
        val after = slot.change { it.observe(ledger, seen.version) }
        if (after.state == AccountState.ENDED) logEnded(slot)
        val predecessors = predecessorsIn(ledger)
        val balance = ledger.balanceFor(slot.holder.key)
        if (slot.observeRecovery(ledger, nowMillis())) onRecovery(slot.workspace)
        if (before.sequence > 0 && before.recoveryBegunAt != after.recoveryBegunAt) {
            val era = after.recoveryBegunAt.era
            listener.onEvent(
                BudgetEvent.HoldingConfirmed(slot.workspace, era, after.grantedTokens, ledger.withheldTokens),
            )
        }
        slot.locked {
            this.predecessors = predecessors
            freeTokensSeen = maxOf(0, ledger.freeTokens)
            unspentTokensSeen = maxOf(0, ledger.unspentTokens)
            maxHeldTokens = policy.maxHeldTokens(after, balance)
            minHeldTokens = (maxOf(0, ledger.freeTokens) * policy.minAccountFraction).toLong()
        }
        listener.onEvent(
            BudgetEvent.Synchronised(slot.workspace, after.acquiredTokens - before.acquiredTokens, balance),
        )
        return RefillFailure.Insufficient(0, balance)
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
            is UpdateError.Failed -> recordUnavailable(slot, error.error.message)
            is UpdateError.Refused ->
                when (val reason = error.reason) {
                    is LedgerRefusal.UnknownWorkspace -> RefillFailure.UnknownWorkspace
                    is LedgerRefusal.HolderEnded -> {
                        slot.change { it.copy(state = AccountState.ENDED) }
                        logEnded(slot)
                        RefillFailure.Closed
                    }
                    else -> recordUnavailable(slot, reason.message)
                }
        }

    /** Starts the backoff after a failed call to the platform. */
    fun recordUnavailable(
        slot: AccountSlot,
        message: String,
    ): RefillFailure {
        backoffUntilMillis = nowMillis() + slot.policy.maxRetryDelay.toMillis()
        listener.onEvent(BudgetEvent.PlatformFailed(slot.workspace, message))
        return RefillFailure.Unavailable(message)
    }

    private fun logEnded(slot: AccountSlot) =
        log.warn(
            "budget: ledger entry was reclaimed while its holder is still running workspace={} holder={}",
            slot.workspace,
            slot.holder,
        )

    /** Closes the ledger entry of an account in state [AccountState.CLOSING]; returns the error, or null on success. */
    suspend fun close(slot: AccountSlot): StoreError? =
        slot.platformAccess.withLock {
            val account = slot.locked { account }
            if (account.state != AccountState.CLOSING) return null
            if (slot.locked { mayHaveLedgerEntry }) closeEntry(slot, account)?.let { return it }
            slot.change { it.copy(state = AccountState.CLOSED) }
            null
        }

    private suspend fun closeEntry(
        slot: AccountSlot,
        account: LocalAccount,
    ): StoreError? {
        val closed =
            ledger(slot).updateVersioned<Nothing>({ isClosed(it, slot.holder.key) }) { stored ->
                val ledger = stored.value?.asReadAt(stored.version)
                val closed = ledger?.close(slot.holder, updateOf(slot, account, ledger))
                if (closed == null || closed === stored.value) Change.Keep else Change.Write(closed)
            }
        val isLedgerLost = account.sequence > 0 && closed.fold({ it.value == null }, { false })
        if (isLedgerLost) return createLedger(slot) ?: closeEntry(slot, account)
        return closed.fold({ null }, { (it as UpdateError.Failed).error })
    }

    /** Creates a ledger that a restore of the store has lost, so that the spend of an account can be settled in it. */
    private suspend fun createLedger(slot: AccountSlot): StoreError? =
        ledger(slot)
            .update<Nothing>({ true }) { ledger ->
                val created = withPaidTotal(slot.workspace, BudgetLedger())
                if (ledger != null || created == null) Change.Keep else Change.Write(created)
            }.fold({ null }, { (it as UpdateError.Failed).error })

    private fun isClosed(
        stored: Versioned<BudgetLedger>,
        key: String,
    ): Boolean {
        val ledger = stored.value ?: return false
        return ledger.isWrittenInEraOf(stored.version) &&
            (key in ledger.closedHolders || ledger.holders[key]?.isEnded == true)
    }

    private fun ledger(slot: AccountSlot) =
        TypedObject(store, BudgetLedgerStore.keyOf(slot.workspace), BudgetLedger.serializer())
}
