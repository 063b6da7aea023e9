package io.limpetfold.lease

import java.time.Duration

/**
 * Durations of a lease.
 *
 * @property timeToLive how long one renewal is valid.
 * @property renewAfter the age of the last renewal at which the holder renews, and the interval at which others read
 *   the lease.
 * @property clockDriftShare the share of [timeToLive] that the holder does not use, because two monotonic clocks may
 *   run at different rates.
 */
data class LeasePolicy(
    val timeToLive: Duration = Duration.ofSeconds(10),
    val renewAfter: Duration = DEFAULT_RENEW_AFTER,
    val clockDriftShare: Double = 0.02,
) {
    init {
        require(renewAfter < timeToLive) { "renewAfter must be below timeToLive; lower renewAfter" }
        require(clockDriftShare in 0.0..MAX_DRIFT_SHARE) { "clockDriftShare must be between 0 and $MAX_DRIFT_SHARE" }
    }

    private companion object {
        val DEFAULT_RENEW_AFTER: Duration = Duration.ofSeconds(3)
        const val MAX_DRIFT_SHARE = 0.5
    }
}
