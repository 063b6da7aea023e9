package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex

/**
 * The account of one workspace and the state that its callers share; all mutable fields are guarded by the slot's
 * monitor.
 */
internal class AccountSlot(
    val workspace: WorkspaceId,
    val holder: Incarnation,
    @Volatile var policy: BudgetPolicy,
) {
    private val changeCount = MutableStateFlow(0L)

    /** A counter that changes whenever tokens may have become available. */
    val changes: StateFlow<Long> get() = changeCount

    /** Serialises this router's updates of the ledger, so that at most one of its writes has an unknown outcome. */
    val platformAccess = Mutex()

    var account = LocalAccount(holder)
        private set
    var refill: CompletableDeferred<Unit>? = null
    var failure: RefillFailure? = null
    var waitingTokens = 0L
    var retryAtMillis = 0L
    var retryDelayMillis = 0L
    var peersAskedAtMillis = 0L

    /** The free tokens of the ledger as last seen; [Long.MAX_VALUE] when they are not known. */
    var freeTokensSeen = Long.MAX_VALUE

    /** The maximum number of tokens that the account should hold, computed from the ledger as last seen. */
    var maxHeldTokens = Long.MAX_VALUE

    /** The tokens that the account should hold without any demand, computed from the ledger as last seen. */
    var minHeldTokens = 0L

    /** The unspent tokens of the ledger as last seen; [Long.MAX_VALUE] when they are not known. */
    var unspentTokensSeen = Long.MAX_VALUE

    /** The ceilings of the account that other routers have acknowledged. */
    var ceilings = CeilingAcknowledgements()

    /** The grant that the account last requested, whether or not the ceiling limited it. */
    var wantedGrantTokens = 0L

    /** [wantedGrantTokens] if the ceiling limited the last grant, else 0. */
    var limitedGrantTokens = 0L
    var syncedAtMillis = 0L
    var usedAtMillis = 0L

    /** The calls in progress; the slot is not evicted while there are any. */
    var callerCount = 0

    /** Whether the account was evicted; a later caller opens another one with a new holder. */
    var isEvicted = false

    /** Earlier incarnations of this instance that have an open entry in the ledger as last seen. */
    var predecessors: ImmutableList<Incarnation> = persistentListOf()

    /** [BudgetLedger.recoveryBegunAt] of the last recovery of the ledger that was seen. */
    var recoverySeen = ObjectVersion.NONE
        private set

    /** When the recovery [recoverySeen] was first seen. */
    var recoverySeenAtMillis = 0L
        private set

    /** Whether the ledger was in recovery as last seen. */
    var isRecovering = false
        private set

    /** Whether a write, possibly one with an unknown outcome, may have created the entry in the ledger. */
    var mayHaveLedgerEntry = false

    /** Replaces the account and returns the new one; wakes waiting callers when it has more tokens or another state. */
    fun change(transform: (LocalAccount) -> LocalAccount): LocalAccount {
        val (before, after) =
            synchronized(this) {
                val before = account
                account = transform(before)
                before to account
            }
        if (after.availableTokens > before.availableTokens || after.state != before.state) changeCount.update { it + 1 }
        return after
    }

    /** Notes whether [ledger] is in recovery; returns whether a recovery was seen for the first time. */
    fun observeRecovery(
        ledger: BudgetLedger,
        nowMillis: Long,
    ): Boolean {
        val (isNew, isEnded) =
            synchronized(this) {
                val isNew = ledger.isRecovering && recoverySeen != ledger.recoveryBegunAt
                val isEnded = isRecovering && !ledger.isRecovering
                if (isNew) {
                    recoverySeen = ledger.recoveryBegunAt
                    recoverySeenAtMillis = nowMillis
                }
                isRecovering = ledger.isRecovering
                if (isEnded) retryAtMillis = nowMillis
                isNew to isEnded
            }
        // Callers that wait for the withheld tokens try again.
        if (isEnded) changeCount.update { it + 1 }
        return isNew
    }

    /** Raises the caller count; returns false when the account was evicted before. */
    fun enter(nowMillis: Long): Boolean =
        locked {
            if (!isEvicted) {
                callerCount++
                usedAtMillis = nowMillis
            }
            !isEvicted
        }

    /** Lowers the caller count. */
    fun leave(nowMillis: Long) =
        locked {
            callerCount--
            usedAtMillis = nowMillis
        }

    /** Whether the account has not been used for [BudgetPolicy.idleAfter], so that its idle tokens can be returned. */
    fun isIdle(nowMillis: Long): Boolean =
        account.state == AccountState.OPEN &&
            callerCount == 0 &&
            nowMillis - usedAtMillis >= policy.idleAfter.toMillis()

    /** Whether the account is idle, has no open reservations and needs no tokens for its demand. */
    fun isEvictable(nowMillis: Long): Boolean =
        isIdle(nowMillis) && account.reservations.isEmpty() && policy.horizonTokens(account, nowMillis) == 0L

    /** Whether peers may be asked for tokens during the backoff after a failed call to the platform. */
    fun canAskPeers(nowMillis: Long): Boolean =
        (failure is RefillFailure.Unavailable || failure is RefillFailure.Withheld) &&
            nowMillis - peersAskedAtMillis >= policy.retryDelay.toMillis()

    /** Whether the account should be refilled before it runs out. */
    fun isLow(nowMillis: Long): Boolean =
        account.state == AccountState.OPEN &&
            isRefillWorthwhile(nowMillis) &&
            account.availableTokens < policy.refillBelow * targetTokens(nowMillis)

    /**
     * The tokens above the target when they justify a write to the ledger, else 0; also 0 for an account without an
     * entry.
     */
    fun excessTokens(nowMillis: Long): Long {
        if (account.state != AccountState.OPEN || account.sequence == 0L) return 0
        val excessTokens = account.availableTokens - targetTokens(nowMillis)
        val worthwhileTokens = (freeTokensSeen * MIN_RETURN_FRACTION).toLong()
        val threshold = policy.maxExcessRatio * maxOf(targetTokens(nowMillis), worthwhileTokens)
        return if (excessTokens > threshold) excessTokens else 0
    }

    /** The tokens that the account should hold at [nowMillis], computed from the ledger as last seen. */
    private fun targetTokens(nowMillis: Long): Long =
        minOf(maxHeldTokens, maxOf(policy.horizonTokens(account, nowMillis), minHeldTokens))

    /**
     * Whether the free tokens, as last seen, allow a grant of useful size; the last free tokens are left for callers
     * that need them.
     */
    private fun isRefillWorthwhile(nowMillis: Long): Boolean =
        freeTokensSeen * policy.grantFraction >=
            MIN_REFILL_FRACTION * minOf(maxHeldTokens, policy.horizonTokens(account, nowMillis))

    /**
     * The time of the last synchronisation when the next one is due; null when the account needs no call to the
     * platform now.
     */
    fun lastSyncMillisIfDue(nowMillis: Long): Long? {
        val isDue = isEvicted || (account.state == AccountState.OPEN && (mayHaveLedgerEntry || isEvictable(nowMillis)))
        if (isDue && syncedAtMillis <= nowMillis - policy.reportInterval.toMillis()) return syncedAtMillis
        val isRefillDue =
            (isLow(nowMillis) || excessTokens(nowMillis) > 0 || isRecoveryWaitOver(nowMillis)) &&
                syncedAtMillis <= nowMillis - policy.refillInterval.toMillis()
        return if (isRefillDue) syncedAtMillis else null
    }

    /** Whether holders that the ledger does not list have had the time to confirm their totals. */
    fun isRecoveryWaitOver(nowMillis: Long): Boolean = isRecovering && recoveryWaitMillis(nowMillis) == 0L

    /** The time until this account may end the recovery of its ledger. */
    fun recoveryWaitMillis(nowMillis: Long): Long =
        maxOf(0, recoverySeenAtMillis + policy.recoveryWait.toMillis() - nowMillis)

    /**
     * Whether an attempt for [tokens] has to wait for the end of the backoff. An attempt for fewer tokens than the
     * failed one can have another outcome, so it is not delayed.
     */
    fun isDelayed(
        tokens: Long,
        nowMillis: Long,
    ): Boolean {
        val last = failure ?: return false
        // An attempt that the remaining tokens do not cover either would have the same outcome as the refused one.
        val mayFit =
            last is RefillFailure.Insufficient &&
                tokens < last.neededTokens &&
                tokens <= last.freeTokens + account.availableTokens
        return nowMillis < retryAtMillis && !mayFit
    }

    /** Runs [action] under the monitor; it must not suspend or block. */
    inline fun <T> locked(action: AccountSlot.() -> T): T = synchronized(this) { action() }

    private companion object {
        /**
         * The smallest useful refill, as a fraction of what the demand needs: a small one costs as many calls as a
         * large one.
         */
        const val MIN_REFILL_FRACTION = 0.1

        /** A return that raises the free tokens by a smaller fraction does not justify its calls to the platform. */
        const val MIN_RETURN_FRACTION = 0.05
    }
}
