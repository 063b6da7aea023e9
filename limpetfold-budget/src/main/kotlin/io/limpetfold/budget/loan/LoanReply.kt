package io.limpetfold.budget.loan

import kotlinx.serialization.Serializable

/**
 * Answers a [LoanRequest].
 *
 * @property lentTokens the total lent, so that a repeated or late answer credits nothing twice.
 * @property outcome whether the need was met.
 * @property freeTokens what the ledger has free, with [LoanOutcome.INSUFFICIENT].
 * @property retryAfterMillis when another attempt can have another outcome.
 */
@Serializable
internal data class LoanReply(
    val outcome: LoanOutcome,
    val lentTokens: Long = 0,
    val freeTokens: Long = 0,
    val retryAfterMillis: Long = 0,
)
