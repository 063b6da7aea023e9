package io.limpetfold.budget

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Refills an account that has too few tokens: from the platform, and from peers when the platform has too few or fails.
 */
internal class AccountRefill(
    private val ledgerSync: LedgerSync,
    private val ceilingSync: CeilingSync,
    private val transfers: PeerTransfers,
    private val nowMillis: () -> Long,
) {
    /**
     * Joins the refill in progress or makes one; returns null when another try to reserve is worthwhile, else the
     * failure.
     */
    suspend fun refill(
        slot: AccountSlot,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        val ownRefill = CompletableDeferred<Unit>()
        val activeRefill =
            slot.locked {
                if (refill == null && isDelayed(tokens, nowMillis()) && !canAskPeers(nowMillis())) return failure
                refill ?: ownRefill.also { refill = it }
            }
        if (activeRefill === ownRefill) return makeRefill(slot, ownRefill, tokens, remainingMillis)
        withTimeoutOrNull(remainingMillis) { activeRefill.await() }
        if (!activeRefill.isCompleted) return RefillFailure.Unavailable("a refill in progress did not complete in time")
        // The refill may have failed for a larger number of tokens. Then null makes this caller try its own attempt.
        return slot.locked { if (isDelayed(tokens, nowMillis())) failure else null }
    }

    private suspend fun makeRefill(
        slot: AccountSlot,
        ownRefill: CompletableDeferred<Unit>,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        try {
            val outcome = attemptWithin(slot, tokens, remainingMillis)
            slot.locked { recordOutcome(outcome) }
            return outcome
        } finally {
            slot.locked { refill = null }
            ownRefill.complete(Unit)
        }
    }

    private suspend fun attemptWithin(
        slot: AccountSlot,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        if (remainingMillis <= 0) return attempt(slot, tokens, 0)
        val result = withTimeoutOrNull(remainingMillis) { AttemptResult(attempt(slot, tokens, remainingMillis)) }
        return if (result == null) RefillFailure.Unavailable("no response in time") else result.failure
    }

    private fun AccountSlot.recordOutcome(outcome: RefillFailure?) {
        failure = outcome
        if (outcome == null) {
            retryDelayMillis = 0
        } else {
            retryDelayMillis =
                (retryDelayMillis * 2).coerceIn(policy.retryDelay.toMillis(), policy.maxRetryDelay.toMillis())
            retryAtMillis = nowMillis() + retryDelayMillis
        }
    }

    private class AttemptResult(
        val failure: RefillFailure?,
    )

    private suspend fun attempt(
        slot: AccountSlot,
        tokens: Long,
        maxWaitMillis: Long,
    ): RefillFailure? {
        val acquiredBefore = slot.locked { account.acquiredTokens }
        // During the backoff after a failed call to the platform, the caller's wait is used for peers.
        val knownFailure =
            if (ledgerSync.isPlatformInBackoff) {
                RefillFailure.Unavailable("the backoff after a failed call has not ended")
            } else {
                slot.locked { failure.takeIf { isDelayed(tokens, nowMillis()) } }
            }
        val failure =
            knownFailure
                ?: withheldFailure(
                    slot,
                    ceilingSync.synchronise(slot, tokens) { account, balance ->
                        grantFor(slot, tokens, account, balance)
                    },
                )
        if (failure is RefillFailure.Closed || failure is RefillFailure.UnknownWorkspace) return failure
        if (slot.locked { account.availableTokens } >= tokens) return null
        // Concurrent callers may have reserved the grant already. The budget is not insufficient then.
        val isGranted = slot.locked { account.acquiredTokens } > acquiredBefore
        if (failure is RefillFailure.Insufficient && (isGranted || failure.freeTokens >= tokens)) return null
        transfers.requestTokens(slot, tokens, maxWaitMillis)
        if (slot.locked { account.availableTokens } >= tokens) return null
        slot.locked { peersAskedAtMillis = nowMillis() }
        return if (failure is RefillFailure.Insufficient) failure.copy(neededTokens = tokens) else failure
    }

    /** The budget is not insufficient while the tokens of a restored ledger are withheld. */
    private fun withheldFailure(
        slot: AccountSlot,
        failure: RefillFailure?,
    ): RefillFailure? =
        if (failure is RefillFailure.Insufficient && failure.balance.isRecovering) {
            RefillFailure.Withheld(slot.locked { recoveryWaitMillis(nowMillis()) })
        } else {
            failure
        }

    /**
     * The tokens to request from the platform: enough for all waiting callers where the free tokens cover them, else
     * for [tokens].
     */
    fun grantFor(
        slot: AccountSlot,
        tokens: Long,
        account: LocalAccount,
        balance: LedgerBalance,
    ): Long {
        val allTokens = slot.locked { maxOf(tokens, waitingTokens) }
        val grant = slot.policy.grantSize(account, allTokens, balance)
        return if (grant > 0) grant else slot.policy.grantSize(account, tokens, balance)
    }
}
