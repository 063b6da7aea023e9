package io.limpetfold.burn

import kotlinx.serialization.Serializable

/**
 * Requests of one series in one interval.
 *
 * @property startEpochSeconds the start of the interval.
 * @property failed requests that count against the availability objective.
 * @property slow answered requests that missed the latency objective.
 */
@Serializable
data class SloBurnBucket(
    val startEpochSeconds: Long,
    val total: Long = 0,
    val failed: Long = 0,
    val slow: Long = 0,
)
