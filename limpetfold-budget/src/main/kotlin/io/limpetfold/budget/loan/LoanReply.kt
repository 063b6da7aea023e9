package io.limpetfold.budget.loan

import kotlinx.serialization.Serializable

/**
 * Responds to a [LoanRequest].
 *
 * @property lentTokens the total lent, so that a repeated or late response credits nothing twice.
 * @property freeTokens the free tokens of the ledger; set with [LoanOutcome.INSUFFICIENT].
 * @property retryAfterMillis the time after which a retry can have another outcome.
 */
@Serializable
internal data class LoanReply(
    val outcome: LoanOutcome,
    val lentTokens: Long = 0,
    val freeTokens: Long = 0,
    val retryAfterMillis: Long = 0,
)
