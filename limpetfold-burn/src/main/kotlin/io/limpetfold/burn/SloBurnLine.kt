package io.limpetfold.burn

import kotlinx.serialization.Serializable

/**
 * The burn of one route and workspace in one window of the report.
 *
 * @property workspace [SloBurnReport.ALL] for the route as a whole.
 * @property availabilityBurn rate at which the error budget of the availability objective is spent; at 1 it is
 *   spent exactly at the end of its period.
 * @property latencyBurn the same for the latency objective.
 * @property isBreached whether either rate is at or above the alert threshold of the window.
 */
@Serializable
data class SloBurnLine(
    val route: String,
    val workspace: String,
    val window: String,
    val total: Long,
    val failed: Long,
    val slow: Long,
    val availabilityBurn: Double,
    val latencyBurn: Double,
    val isBreached: Boolean,
)
