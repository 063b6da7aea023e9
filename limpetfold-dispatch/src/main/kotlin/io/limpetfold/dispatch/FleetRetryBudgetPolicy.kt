package io.limpetfold.dispatch

import java.time.Duration

/**
 * The fleet's bound on repeated sends to one service.
 *
 * @property retryRatio repeated sends allowed for each call.
 * @property minRetries repeated sends allowed beside the ratio, over the whole fleet in one window.
 * @property window the sliding time in which both are counted.
 * @property reserve the part of the bound that is left unused, because routers do not see each other's counts.
 */
data class FleetRetryBudgetPolicy(
    val retryRatio: Double,
    val minRetries: Double,
    val window: Duration,
    val reserve: Double = 0.2,
)
