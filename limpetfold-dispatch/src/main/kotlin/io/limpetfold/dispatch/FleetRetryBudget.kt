package io.limpetfold.dispatch

import java.time.Duration

/**
 * This router's share of the fleet-wide limit on retries to one service. Not safe for concurrent use.
 *
 * The ratio applies to the calls that this router itself has forwarded, and the minimum is divided by the number of
 * routers that may be running. The sum over all routers therefore stays within the limit without any communication.
 *
 * @param currentPolicy the limit in effect; a change applies from the next retry on, except that the window stays that
 * of the first policy.
 */
class FleetRetryBudget(
    private val currentPolicy: () -> FleetRetryBudgetPolicy,
) {
    private val calls = SlidingWindowCounter(currentPolicy().window)
    private val retries = SlidingWindowCounter(currentPolicy().window)

    /** Counts the first attempt of a call. */
    fun onFirstAttempt(now: Duration) = calls.add(now)

    /**
     * Acquires one retry, or returns false when this router's share is used up; [routerCount] is the number of routers
     * that may be running.
     */
    fun tryAcquire(
        routerCount: Int,
        now: Duration,
    ): Boolean {
        val policy = currentPolicy()
        val allowance = policy.retryRatio * calls.count(now) + policy.minRetries / routerCount.coerceAtLeast(1)
        if (retries.count(now) + 1 > allowance * (1 - policy.reserve)) return false
        retries.add(now)
        return true
    }
}
