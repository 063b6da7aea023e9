package io.limpetfold.request

/**
 * The size of a [RetryBudget].
 *
 * @property retriesPerSuccess retries earned by each successful request.
 * @property floorPerSecond retries allowed per second without any success, so that a route with little traffic can
 * retry.
 * @property maxEarned maximum number of earned retries that accumulate; limits the burst of retries when an endpoint
 * fails.
 */
data class RetryBudgetPolicy(
    val retriesPerSuccess: Double = 0.1,
    val floorPerSecond: Double = 1.0,
    val maxEarned: Double = 50.0,
)
