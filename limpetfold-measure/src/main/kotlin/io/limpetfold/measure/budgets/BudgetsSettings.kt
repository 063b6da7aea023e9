package io.limpetfold.measure.budgets

import java.time.Duration

/**
 * Settings of [BudgetsMeasurement].
 *
 * @property seeds runs for each policy and scenario.
 * @property horizons grant horizons of the sweep.
 * @property fractions grant fractions of the sweep; each is combined with each horizon.
 * @property hasSweep whether the sweep runs in addition to the presets and the baselines.
 */
data class BudgetsSettings(
    val seeds: Int = 5,
    val routers: Int = 8,
    val workspaces: Int = 10,
    val requestsPerSecond: Double = 20.0,
    val duration: Duration = Duration.ofMinutes(10),
    val horizons: List<Duration> = listOf(5L, 15L, 30L, 120L, 300L, 600L).map(Duration::ofSeconds),
    val fractions: List<Double> = listOf(0.05, 0.1, 0.25, 0.5),
    val hasSweep: Boolean = true,
)
