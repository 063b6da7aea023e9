package io.limpetfold.config

import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Limits of a route's queue in each router.
 *
 * @property maxRequests maximum number of waiting requests; 0 refuses requests immediately instead of queueing them.
 */
@Serializable
data class QueueLimits(
    @AllowedRange("0", "100000")
    val maxRequests: Int = 256,
    @AllowedRange("0ms", "5m")
    @Serializable(with = DurationSerializer::class)
    val maxWait: Duration = Duration.ofSeconds(10),
)
