package io.limpetfold.config

import kotlinx.serialization.Serializable

/**
 * Bounds of a route's retries in each router.
 *
 * @property maxAttempts attempts for one request, the first included.
 * @property shareOfSuccesses retries allowed per successful request.
 * @property floorPerSecond retries allowed in each second without any success.
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
