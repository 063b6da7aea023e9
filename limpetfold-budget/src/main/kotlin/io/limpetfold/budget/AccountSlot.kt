package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex

/** The account of one workspace with what its callers share; all mutable fields are guarded by the slot's monitor. */
internal class AccountSlot(
    val workspace: WorkspaceId,
    val holder: Incarnation,
    @Volatile var policy: BudgetPolicy,
) {
    private val changeCount = MutableStateFlow(0L)

    /** Changes whenever tokens may have become available. */
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

    /** The free tokens of the ledger as last seen; the largest number when they are not known. */
    var freeTokensSeen = Long.MAX_VALUE

    /** The most tokens that the account should hold, by the ledger as last seen. */
    var mostHeldTokens = Long.MAX_VALUE

    /** The part of the free tokens, as last seen, that the account should hold. */
    var sharedFreeTokens = 0L
    var syncedAtMillis = 0L
    var usedAtMillis = 0L

    /** Reservations under way; the slot is not forgotten while there are any. */
    var callers = 0

    /** The account is being closed for good, and a later caller opens another one with a new holder. */
    var isForgotten = false

    /** Earlier incarnations of this instance that have an open entry in the version last seen. */
    var predecessors: ImmutableList<Incarnation> = persistentListOf()

    /** Whether a write may have created an entry in the ledger. */
    var isRegistering = false

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

    /** Counts a caller in; false when the account was forgotten before. */
    fun enter(nowMillis: Long): Boolean =
        locked {
            if (!isForgotten) {
                callers++
                usedAtMillis = nowMillis
            }
            !isForgotten
        }

    /** Counts a caller out. */
    fun leave(nowMillis: Long) =
        locked {
            callers--
            usedAtMillis = nowMillis
        }

    /** Whether nobody has used the account for a while; its idle tokens can be returned. */
    fun isIdle(nowMillis: Long): Boolean =
        account.state == AccountState.OPEN && callers == 0 && nowMillis - usedAtMillis >= policy.idleAfter.toMillis()

    /** Whether the account is idle, has nothing left to charge and needs no tokens for its demand. */
    fun isForgettable(nowMillis: Long): Boolean =
        isIdle(nowMillis) && account.reservations.isEmpty() && policy.wantedTokens(account, nowMillis) == 0L

    /** Whether peers may be asked although the platform is not called now. */
    fun canAskPeers(nowMillis: Long): Boolean =
        failure is RefillFailure.Unavailable && nowMillis - peersAskedAtMillis >= policy.retryDelay.toMillis()

    /** Whether the account should be refilled before it runs out. */
    fun isLow(nowMillis: Long): Boolean =
        account.state == AccountState.OPEN &&
            isRefillWorthwhile(nowMillis) &&
            account.availableTokens < policy.refillBelow * targetTokens(nowMillis)

    /** The tokens above the target, when they are worth a write to the ledger; 0 else, and where nothing is kept back from the ledger. */
    fun excessTokens(nowMillis: Long): Long {
        if (account.state != AccountState.OPEN || account.sequence == 0L) return 0
        val excessTokens = account.availableTokens - targetTokens(nowMillis)
        return if (excessTokens > policy.maxExcessRatio * maxOf(targetTokens(nowMillis), (freeTokensSeen * SMALLEST_RETURN_PART).toLong())) excessTokens else 0
    }

    /** What the account should hold at [nowMillis], by the ledger as last seen. */
    private fun targetTokens(nowMillis: Long): Long = minOf(mostHeldTokens, maxOf(policy.wantedTokens(account, nowMillis), sharedFreeTokens))

    /** Whether the free tokens, as last seen, make a grant that lasts for a while; the last ones go to callers that need them. */
    private fun isRefillWorthwhile(nowMillis: Long): Boolean =
        freeTokensSeen * policy.grantFraction >= SMALLEST_REFILL_PART * minOf(mostHeldTokens, policy.wantedTokens(account, nowMillis))

    /** When the ledger was last synchronised, or null when the account needs no call to the platform. */
    fun maintainedAtMillis(nowMillis: Long): Long? {
        val isDue = isForgotten || (account.state == AccountState.OPEN && (isRegistering || isForgettable(nowMillis)))
        if (isDue && syncedAtMillis <= nowMillis - policy.reportInterval.toMillis()) return syncedAtMillis
        val isRefillDue = (isLow(nowMillis) || excessTokens(nowMillis) > 0) && syncedAtMillis <= nowMillis - policy.refillInterval.toMillis()
        return if (isRefillDue) syncedAtMillis else null
    }

    /** Whether an attempt for [tokens] would repeat a failed one too soon; one for fewer tokens can have another outcome. */
    fun isDelayed(
        tokens: Long,
        nowMillis: Long,
    ): Boolean {
        val last = failure ?: return false
        // One that the tokens left could not cover either would only repeat the refused attempt.
        val mayFit = last is RefillFailure.Insufficient && tokens < last.neededTokens && tokens <= last.freeTokens + account.availableTokens
        return nowMillis < retryAtMillis && !mayFit
    }

    /** Runs [action] under the monitor; it must not suspend or block. */
    inline fun <T> locked(action: AccountSlot.() -> T): T = synchronized(this) { action() }

    private companion object {
        /** Smaller refills cost as many calls to the platform as large ones. */
        const val SMALLEST_REFILL_PART = 0.1

        /** A return that raises the free tokens by less is not worth its calls. */
        const val SMALLEST_RETURN_PART = 0.05
    }
}
