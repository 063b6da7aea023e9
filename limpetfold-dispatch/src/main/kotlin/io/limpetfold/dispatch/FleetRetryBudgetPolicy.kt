package io.limpetfold.dispatch

import java.time.Duration

/**
 * The fleet-wide limit on retries to one service.
 *
 * @property retryRatio retries allowed per call.
 * @property minRetries retries allowed in addition to the ratio, over the whole fleet in one window.
 * @property window length of the sliding window in which calls and retries are counted.
 * @property reserve fraction of the limit that is left unused, because routers do not know each other's counts.
 */
data class FleetRetryBudgetPolicy(
    val retryRatio: Double,
    val minRetries: Double,
    val window: Duration,
    val reserve: Double = 0.2,
)
