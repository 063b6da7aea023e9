package io.limpetfold.budget

/**
 * The total that a workspace has paid, for workspaces whose total is set by a versioned configuration instead of
 * top-ups.
 *
 * @property version the version of the configuration; a total replaces only one of a lower version.
 */
data class PaidTotal(
    val tokens: Long,
    val version: Long,
)
