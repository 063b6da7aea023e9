package io.limpetfold.dispatch

import java.time.Duration

/**
 * The fleet's bound on repeated sends to one service.
 *
 * @property share repeated sends allowed for each call.
 * @property slack repeated sends allowed beside the share, over the whole fleet in one window.
 * @property window the sliding time in which both are counted.
 * @property reserve the part of the bound that is left unused, because routers do not see each other's counts.
 */
data class RetryPolicy(
    val share: Double,
    val slack: Double,
    val window: Duration,
    val reserve: Double = 0.2,
)
