package io.limpetfold.request

/**
 * The size of a [RetryBudget].
 *
 * @property share retries allowed for each success.
 * @property floorPerSecond retries allowed each second without any success, so that a quiet route can retry at all.
 * @property maxSaved retries that can be saved up; it bounds the burst when an endpoint fails.
 */
data class RetryBudgetPolicy(
    val share: Double = 0.1,
    val floorPerSecond: Double = 1.0,
    val maxSaved: Double = 50.0,
)
