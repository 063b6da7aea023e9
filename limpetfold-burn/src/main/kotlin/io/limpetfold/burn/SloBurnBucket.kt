package io.limpetfold.burn

import kotlinx.serialization.Serializable

/**
 * Request counts of one series in one interval.
 *
 * @property startEpochSeconds start of the interval.
 * @property failed requests that count against the availability objective.
 * @property slow requests that did not fail but missed the latency objective.
 */
@Serializable
data class SloBurnBucket(
    val startEpochSeconds: Long,
    val total: Long = 0,
    val failed: Long = 0,
    val slow: Long = 0,
)
