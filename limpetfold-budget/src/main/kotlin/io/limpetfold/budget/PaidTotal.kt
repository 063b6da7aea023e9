package io.limpetfold.budget

/**
 * What a workspace has paid in all, where a versioned configuration says so and not top-ups.
 *
 * @property version a total replaces one of a lower version only.
 */
data class PaidTotal(
    val tokens: Long,
    val version: Long,
)
