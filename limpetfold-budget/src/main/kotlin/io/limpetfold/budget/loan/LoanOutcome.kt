package io.limpetfold.budget.loan

import kotlinx.serialization.Serializable

/** How a lender met a request. */
@Serializable
internal enum class LoanOutcome {
    /** The need is met by what was lent so far. */
    LENT,

    /** The ledger was read and has too few tokens. */
    INSUFFICIENT,

    /** The lender has too few tokens and can't reach the platform, or it is closing. */
    UNAVAILABLE,

    /** The lender knows no such loan, as after its restart; the borrower opens another one. */
    UNKNOWN_LOAN,
}
