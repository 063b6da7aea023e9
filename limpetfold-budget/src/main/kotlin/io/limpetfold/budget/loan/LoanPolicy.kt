package io.limpetfold.budget.loan

import java.time.Duration

/**
 * How much a router borrows and for how long.
 *
 * @property horizon a loan lasts this long at the borrower's demand; lenders keep what outlasts an outage of the platform.
 * @property demandWindow the time over which the demand is averaged.
 * @property idleAfter tokens that were not used for this long go back.
 * @property forgetAfter a workspace without loans that was not used for this long is forgotten; longer than any reservation waits.
 * @property answerTimeout the longest wait for a lender beyond the caller's maximum wait.
 * @property retryDelay lenders that did not answer, or could not say, are asked again after this time.
 * @property lendersAsked the lenders asked before this router opens an account of its own.
 */
data class LoanPolicy(
    val horizon: Duration = Duration.ofSeconds(1),
    val demandWindow: Duration = Duration.ofSeconds(8),
    val idleAfter: Duration = Duration.ofSeconds(2),
    val forgetAfter: Duration = Duration.ofMinutes(1),
    val answerTimeout: Duration = Duration.ofMillis(100),
    val retryDelay: Duration = RETRY_DELAY,
    val lendersAsked: Int = 2,
) {
    init {
        require(!horizon.isNegative && demandWindow > Duration.ZERO) { "horizon must not be negative and demandWindow must be positive" }
        require(answerTimeout > Duration.ZERO && lendersAsked > 0) { "answerTimeout and lendersAsked must be positive" }
    }

    private companion object {
        val RETRY_DELAY: Duration = Duration.ofMillis(200)
    }
}
