package io.limpetfold.limits

import java.time.Duration

/**
 * Times and bounds of an [EndpointLimiter].
 *
 * @property loanLife how long a borrower may start requests on a loan that its lender did not confirm again.
 * @property maxRequestDuration the longest a request may stay at an endpoint; the router must end it by then.
 * @property peerTimeout wait for one peer's answer.
 * @property borrowPause least time between two rounds of borrowing for one endpoint.
 * @property reservationLife how long an idle slot is kept for a peer that has no slot of its own.
 * @property lendLastAfter how long an endpoint must be unused here before its last idle slot is lent to a peer that has slots.
 * @property idleBeforeReturn how long a borrowed slot must be idle before it goes back.
 * @property probePause first wait before a probe; it doubles up to [maxProbePause].
 * @property loadHalfLife age at which a load report counts half.
 * @property noticeLife how long a leaving notice is repeated to peers that did not acknowledge it.
 * @property retryAfter hint in refusals.
 * @property maxBorrow slots asked for at once.
 * @property adaptive bounds of the adaptive limit.
 */
data class LimitPolicy(
    val loanLife: Duration = Duration.ofSeconds(10),
    val maxRequestDuration: Duration = TWO_MINUTES,
    val peerTimeout: Duration = QUARTER_SECOND,
    val borrowPause: Duration = TWENTY_MILLIS,
    val reservationLife: Duration = HALF_SECOND,
    val lendLastAfter: Duration = HALF_SECOND,
    val idleBeforeReturn: Duration = Duration.ofSeconds(2),
    val probePause: Duration = Duration.ofSeconds(1),
    val maxProbePause: Duration = THIRTY_SECONDS,
    val loadHalfLife: Duration = Duration.ofSeconds(2),
    val noticeLife: Duration = Duration.ofSeconds(10),
    val retryAfter: Duration = Duration.ofSeconds(1),
    val maxBorrow: Int = 4,
    val adaptive: AdaptivePolicy = AdaptivePolicy(),
) {
    /** The time for which a seat that had an unknown holder before gives no share; see [EndpointLimiter.update]. */
    val seatSettleTime: Duration get() = loanLife + maxRequestDuration

    private companion object {
        val TWO_MINUTES: Duration = Duration.ofMinutes(2)
        val QUARTER_SECOND: Duration = Duration.ofMillis(250)
        val HALF_SECOND: Duration = Duration.ofMillis(500)
        val TWENTY_MILLIS: Duration = Duration.ofMillis(20)
        val THIRTY_SECONDS: Duration = Duration.ofSeconds(30)
    }
}
