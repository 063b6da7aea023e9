package io.limpetfold.dispatch

import java.time.Duration

/**
 * This router's part of the fleet's bound on repeated sends to one service. Not safe for concurrent use.
 *
 * The part of the ratio follows from the calls that this router has forwarded itself; the minimum is divided by the number of routers that
 * may live, so that no message is needed and the sum stays within the bound.
 *
 * @param currentPolicy the bound; a changed one counts from the next repeat on, while the window stays that of the first.
 */
class FleetRetryBudget(
    private val currentPolicy: () -> FleetRetryBudgetPolicy,
) {
    private val calls = SlidingCount(currentPolicy().window)
    private val repeats = SlidingCount(currentPolicy().window)

    /** Counts the first send of a call. */
    fun onFirstAttempt(now: Duration) = calls.add(now)

    /** Takes one repeated send, or returns false when the part of this router is used up. */
    fun tryAcquire(
        routerCount: Int,
        now: Duration,
    ): Boolean {
        val policy = currentPolicy()
        val own = policy.retryRatio * calls.count(now) + policy.minRetries / routerCount.coerceAtLeast(1)
        if (repeats.count(now) + 1 > own * (1 - policy.reserve)) return false
        repeats.add(now)
        return true
    }
}
