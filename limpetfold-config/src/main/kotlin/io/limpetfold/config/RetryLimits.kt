package io.limpetfold.config

import kotlinx.serialization.Serializable

/**
 * Limits on the retries of a route in each router.
 *
 * @property maxAttempts maximum attempts for one request, including the first.
 * @property shareOfSuccesses retries allowed per successful request.
 * @property floorPerSecond retries allowed per second even without successful requests.
 */
@Serializable
data class RetryLimits(
    @AllowedRange("1", "10")
    val maxAttempts: Int = 3,
    @AllowedRange("0", "1")
    val shareOfSuccesses: Double = 0.1,
    @AllowedRange("0", "100")
    val floorPerSecond: Double = 1.0,
)
