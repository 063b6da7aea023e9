package io.limpetfold.budget.loan

import kotlinx.serialization.Serializable

/** The outcome of a [LoanRequest] at the lender. */
@Serializable
internal enum class LoanOutcome {
    /** The lent tokens cover the need. */
    LENT,

    /** The lender read the ledger, which has too few free tokens. */
    INSUFFICIENT,

    /** The lender has too few tokens and cannot reach the platform, has no ledger of the workspace, or is closing. */
    UNAVAILABLE,

    /** The lender does not have the loan, for example after a restart; the borrower opens another one. */
    UNKNOWN_LOAN,
}
