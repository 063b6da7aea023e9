package io.limpetfold.config

import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Bounds of a route's queue in each router.
 *
 * @property maxRequests requests waiting at the same time; 0 refuses at once.
 */
@Serializable
data class QueueLimits(
    @AllowedRange("0", "100000")
    val maxRequests: Int = 256,
    @AllowedRange("0ms", "5m")
    @Serializable(with = DurationSerializer::class)
    val maxWait: Duration = Duration.ofSeconds(10),
)
