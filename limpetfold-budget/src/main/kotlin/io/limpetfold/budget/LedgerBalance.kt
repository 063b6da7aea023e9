package io.limpetfold.budget

/**
 * The tokens of a ledger, by which grants are sized.
 *
 * @property freeTokens tokens paid and neither settled nor granted.
 * @property unspentTokens tokens paid and not reported as spent, free ones included.
 * @property writtenOffFraction tokens granted to routers that ended without a report, as a part of these and the unspent
 * ones, from 0 to 1.
 */
data class LedgerBalance(
    val freeTokens: Long,
    val unspentTokens: Long = Long.MAX_VALUE,
    val writtenOffFraction: Double = 0.0,
)
