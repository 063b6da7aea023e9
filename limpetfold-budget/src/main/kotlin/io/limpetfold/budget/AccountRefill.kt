package io.limpetfold.budget

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Brings tokens to an account that runs short: from the platform, and from peers when the platform has none or fails. */
internal class AccountRefill(
    private val ledgers: LedgerSync,
    private val transfers: PeerTransfers,
    private val nowMillis: () -> Long,
) {
    /** Joins the refill under way or makes one; returns null when it covered the need, else why not. */
    suspend fun refill(
        slot: AccountSlot,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        val own = CompletableDeferred<Unit>()
        val running =
            slot.locked {
                if (refill == null && isDelayed(tokens, nowMillis()) && !canAskPeers(nowMillis())) return failure
                refill ?: own.also { refill = it }
            }
        if (running === own) return makeRefill(slot, own, tokens, remainingMillis)
        withTimeoutOrNull(remainingMillis) { running.await() }
        if (!running.isCompleted) return RefillFailure.Unavailable("a refill is under way")
        // The refill may have failed for more tokens than this caller needs; then this caller makes its own attempt.
        return slot.locked { if (isDelayed(tokens, nowMillis())) failure else null }
    }

    private suspend fun makeRefill(
        slot: AccountSlot,
        own: CompletableDeferred<Unit>,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        try {
            val outcome = attemptWithin(slot, tokens, remainingMillis)
            slot.locked { noteOutcome(outcome) }
            return outcome
        } finally {
            slot.locked { refill = null }
            own.complete(Unit)
        }
    }

    private suspend fun attemptWithin(
        slot: AccountSlot,
        tokens: Long,
        remainingMillis: Long,
    ): RefillFailure? {
        if (remainingMillis <= 0) return attempt(slot, tokens, 0)
        val attempted = withTimeoutOrNull(remainingMillis) { Attempted(attempt(slot, tokens, remainingMillis)) }
        return if (attempted == null) RefillFailure.Unavailable("no answer in time") else attempted.failure
    }

    private fun AccountSlot.noteOutcome(outcome: RefillFailure?) {
        failure = outcome
        if (outcome == null) {
            retryDelayMillis = 0
        } else {
            retryDelayMillis = (retryDelayMillis * 2).coerceIn(policy.retryDelay.toMillis(), policy.maxRetryDelay.toMillis())
            retryAtMillis = nowMillis() + retryDelayMillis
        }
    }

    private class Attempted(
        val failure: RefillFailure?,
    )

    private suspend fun attempt(
        slot: AccountSlot,
        tokens: Long,
        maxWaitMillis: Long,
    ): RefillFailure? {
        val acquiredBefore = slot.locked { account.acquiredTokens }
        // While the platform is known to be away, a caller's wait is spent on peers.
        val knownFailure =
            if (ledgers.isPlatformAvoided) {
                RefillFailure.Unavailable("it failed a moment ago")
            } else {
                slot.locked { failure.takeIf { isDelayed(tokens, nowMillis()) } }
            }
        val failure = knownFailure ?: ledgers.synchronise(slot) { account, free, unspent -> grantFor(slot, tokens, account, free, unspent) }
        if (failure is RefillFailure.Closed || failure is RefillFailure.UnknownWorkspace) return failure
        if (slot.locked { account.availableTokens } >= tokens) return null
        // Other callers may have taken the grant already; the platform is not short of tokens then.
        val isGranted = slot.locked { account.acquiredTokens } > acquiredBefore
        if (failure is RefillFailure.Insufficient && (isGranted || failure.freeTokens >= tokens)) return null
        transfers.ask(slot, tokens, maxWaitMillis)
        if (slot.locked { account.availableTokens } >= tokens) return null
        slot.locked { peersAskedAtMillis = nowMillis() }
        return if (failure is RefillFailure.Insufficient) failure.copy(neededTokens = tokens) else failure
    }

    /** The tokens to ask the platform for: for all waiting callers where that is possible, else for [tokens]. */
    fun grantFor(
        slot: AccountSlot,
        tokens: Long,
        account: LocalAccount,
        freeTokens: Long,
        unspentTokens: Long,
    ): Long {
        val allTokens = slot.locked { maxOf(tokens, waitingTokens) }
        val grant = slot.policy.grantSize(account, allTokens, freeTokens, unspentTokens)
        return if (grant > 0) grant else slot.policy.grantSize(account, tokens, freeTokens, unspentTokens)
    }
}
