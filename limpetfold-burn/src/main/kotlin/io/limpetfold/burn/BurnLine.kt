package io.limpetfold.burn

import kotlinx.serialization.Serializable

/**
 * One route and workspace in one window of the report.
 *
 * @property workspace `(all)` for the route as a whole.
 * @property availabilityBurn rate at which the error budget of the availability objective is spent; 1 spends it exactly by its end.
 * @property latencyBurn the same for the latency objective.
 * @property isBreached whether a rate is at or above the window's alert threshold.
 */
@Serializable
data class BurnLine(
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
