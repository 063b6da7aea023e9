package io.limpetfold.request

import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Bounds retries to a share of successes plus a small floor per second; safe for concurrent use. */
class RetryBudget(
    private val policy: RetryBudgetPolicy = RetryBudgetPolicy(),
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val start: TimeMark = timeSource.markNow()
    private var lastSeconds = 0.0
    private var earned = 0.0

    /** The floor is kept apart from the earned share: an idle hour must not add up to a burst. */
    private var floor = policy.floorPerSecond

    /** Counts a request that succeeded at its first attempt or later. */
    @Synchronized
    fun onSuccess() {
        earned = (earned + policy.share).coerceAtMost(policy.maxSaved)
    }

    /** Takes one retry from the budget, or returns false when there is none. */
    @Synchronized
    fun tryAcquire(): Boolean {
        refill()
        if (earned >= 1.0 - ROUNDING) {
            earned -= 1.0
            return true
        }
        if (floor < 1.0) return false
        floor -= 1.0
        return true
    }

    private fun refill() {
        val now = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        val gained = (now - lastSeconds) * policy.floorPerSecond
        floor = (floor + gained).coerceAtMost(policy.floorPerSecond.coerceAtLeast(1.0))
        lastSeconds = now
    }

    private companion object {
        /** Ten shares of 0.1 add up to slightly less than 1.0 in floating point. */
        const val ROUNDING = 1e-9
    }
}
