package io.limpetfold.limits

import java.time.Duration

/**
 * Timings and limits of an [EndpointLimiter].
 *
 * @property loanLifetime how long after its lender's last confirmation a borrower may start requests on a loan.
 * @property maxRequestDuration maximum time that a request may run at an endpoint; the router must end it by then.
 * @property peerTimeout timeout of a message to one peer.
 * @property borrowInterval pause between two rounds of borrowing.
 * @property reservationLifetime how long an idle slot is reserved for a peer that has no slot of its own.
 * @property lastSlotIdleTime how long this router must not have used an endpoint before it lends its last idle slot to
 * a peer that has slots.
 * @property idleBeforeReturn how long this router must not have used an endpoint before it returns borrowed slots.
 * @property firstProbeDelay delay before the first probe of an endpoint; it doubles after each failed probe, up to
 * [maxProbeDelay].
 * @property loadHalfLife time in which the weight of a load report halves.
 * @property noticeLifetime how long a leaving notice is sent again to peers that have not acknowledged it.
 * @property retryAfter delay after which a refused caller should retry.
 * @property maxBorrow maximum number of slots that one message asks for, for each endpoint.
 * @property adaptive parameters of the adaptive limit.
 */
data class LimitPolicy(
    val loanLifetime: Duration = Duration.ofSeconds(10),
    val maxRequestDuration: Duration = TWO_MINUTES,
    val peerTimeout: Duration = QUARTER_SECOND,
    val borrowInterval: Duration = TWENTY_MILLIS,
    val reservationLifetime: Duration = HALF_SECOND,
    val lastSlotIdleTime: Duration = HALF_SECOND,
    val idleBeforeReturn: Duration = Duration.ofSeconds(2),
    val firstProbeDelay: Duration = Duration.ofSeconds(1),
    val maxProbeDelay: Duration = THIRTY_SECONDS,
    val loadHalfLife: Duration = Duration.ofSeconds(2),
    val noticeLifetime: Duration = Duration.ofSeconds(10),
    val retryAfter: Duration = Duration.ofSeconds(1),
    val maxBorrow: Int = 4,
    val adaptive: AdaptivePolicy = AdaptivePolicy(),
) {
    /**
     * How long a seat taken over from a holder that may not have drained gives no share; see [EndpointLimiter.update].
     */
    val seatTakeoverDelay: Duration get() = loanLifetime + maxRequestDuration

    private companion object {
        val TWO_MINUTES: Duration = Duration.ofMinutes(2)
        val QUARTER_SECOND: Duration = Duration.ofMillis(250)
        val HALF_SECOND: Duration = Duration.ofMillis(500)
        val TWENTY_MILLIS: Duration = Duration.ofMillis(20)
        val THIRTY_SECONDS: Duration = Duration.ofSeconds(30)
    }
}
