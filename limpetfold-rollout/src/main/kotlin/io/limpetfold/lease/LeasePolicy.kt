package io.limpetfold.lease

import java.time.Duration

/**
 * Times of a lease.
 *
 * @property timeToLive how long one renewal lasts.
 * @property renewAfter the age at which the holder renews, and how often others read the lease.
 * @property clockDriftShare the part of [timeToLive] that the holder gives up, because two monotonic clocks may differ in rate.
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
