package io.limpetfold.budget.loan

import java.time.Duration

/**
 * How many tokens a router borrows, when it returns them, and how it asks lenders.
 *
 * @property horizon the time that borrowed tokens are to last at the borrower's demand. It covers the loss of a lender
 * until the next one is asked; the lenders hold the tokens that outlast an outage of the platform.
 * @property demandWindow the time over which the demand rate is averaged.
 * @property idleAfter the time without use after which borrowed tokens are returned.
 * @property evictAfter the time without use after which the state of a workspace without loans is evicted; it must be
 * longer than any reservation waits.
 * @property responseTimeout the timeout of a request to a lender, in addition to the wait that the lender is given.
 * @property retryDelay the backoff after an attempt in which no lender lent tokens or reported an insufficient budget.
 * @property inquireAfter the time without a request for a loan after which its lender asks the borrower about it; longer
 * than a borrower takes to report or return tokens by itself.
 * @property lendersPerAttempt the number of lenders asked before this router uses its own account.
 */
data class LoanPolicy(
    val horizon: Duration = Duration.ofSeconds(3),
    val demandWindow: Duration = Duration.ofSeconds(8),
    val idleAfter: Duration = Duration.ofSeconds(2),
    val evictAfter: Duration = Duration.ofMinutes(1),
    val responseTimeout: Duration = Duration.ofMillis(100),
    val retryDelay: Duration = RETRY_DELAY,
    val inquireAfter: Duration = INQUIRE_AFTER,
    val lendersPerAttempt: Int = 2,
) {
    init {
        require(!horizon.isNegative && demandWindow > Duration.ZERO) {
            "horizon must not be negative and demandWindow must be positive"
        }
        require(responseTimeout > Duration.ZERO && lendersPerAttempt > 0) {
            "responseTimeout and lendersPerAttempt must be positive"
        }
    }

    private companion object {
        val RETRY_DELAY: Duration = Duration.ofMillis(200)
        val INQUIRE_AFTER: Duration = Duration.ofSeconds(10)
    }
}
