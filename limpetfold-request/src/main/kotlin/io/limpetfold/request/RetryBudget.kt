package io.limpetfold.request

import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Limits retries to a share of the successful requests plus a small floor per second; safe for concurrent use. */
class RetryBudget(
    private val policy: RetryBudgetPolicy = RetryBudgetPolicy(),
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val start: TimeMark = timeSource.markNow()
    private var lastRefillSeconds = 0.0
    private var earnedRetries = 0.0

    /** Counted apart from [earnedRetries] and capped, so that an idle hour does not add up to a burst of retries. */
    private var floorRetries = policy.floorPerSecond

    /** Counts a request that succeeded, at its first or a later attempt. */
    @Synchronized
    fun onSuccess() {
        earnedRetries = (earnedRetries + policy.retriesPerSuccess).coerceAtMost(policy.maxEarned)
    }

    /** Takes one retry from the budget, or returns false when none is available. */
    @Synchronized
    fun tryAcquire(): Boolean {
        refill()
        if (earnedRetries >= 1.0 - ROUNDING_TOLERANCE) {
            earnedRetries -= 1.0
            return true
        }
        if (floorRetries < 1.0) return false
        floorRetries -= 1.0
        return true
    }

    private fun refill() {
        val now = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        val gained = (now - lastRefillSeconds) * policy.floorPerSecond
        floorRetries = (floorRetries + gained).coerceAtMost(policy.floorPerSecond.coerceAtLeast(1.0))
        lastRefillSeconds = now
    }

    private companion object {
        /** Ten shares of 0.1 add up to slightly less than 1.0 in floating point. */
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
