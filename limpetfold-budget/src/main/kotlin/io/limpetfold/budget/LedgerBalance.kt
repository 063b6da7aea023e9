package io.limpetfold.budget

/**
 * The tokens of a ledger by their state, for the size of grants and for operators.
 *
 * @property paidTokens tokens paid in total.
 * @property freeTokens tokens paid and neither settled nor granted.
 * @property unspentTokens tokens paid and not reported as spent, free ones included.
 * @property writtenOffTokens tokens that count as spent because their holder ended without a report.
 * @property otherDemandTokensPerSecond the demand of the other open holders, as they last reported it.
 * @property withheldTokens tokens that are not granted until all holders have confirmed their totals after a restore of
 * the store.
 * @property isRecovering whether holders are still to confirm their totals.
 */
data class LedgerBalance(
    val paidTokens: Long,
    val freeTokens: Long,
    val unspentTokens: Long,
    val writtenOffTokens: Long,
    val otherDemandTokensPerSecond: Double,
    val withheldTokens: Long = 0,
    val isRecovering: Boolean = false,
) {
    /** The tokens granted to open holders and not reported as spent. */
    val heldTokens: Long get() = unspentTokens - freeTokens - withheldTokens
}
