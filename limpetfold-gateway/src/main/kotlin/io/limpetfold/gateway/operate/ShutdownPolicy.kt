package io.limpetfold.gateway.operate

import java.time.Duration

/**
 * Times of a graceful shutdown.
 *
 * @param maxBalancerWait how long every call is accepted at most after the readiness probe starts to fail, so that the
 * platform's load balancer notices. After that, idle connections are closed, and a call is accepted only if its deadline
 * is before the end of the drain.
 * @property gracePeriod time from the signal to the end of the process, including the return of grants and the closing
 * of listeners.
 * @property closeReserve part of [gracePeriod] that is reserved for the return of grants and the closing of listeners.
 */
data class ShutdownPolicy(
    private val maxBalancerWait: Duration = BALANCER_WAIT,
    val gracePeriod: Duration = Duration.ofSeconds(8),
    val closeReserve: Duration = CLOSE_RESERVE,
) {
    /**
     * How long every call is still accepted after the readiness probe starts to fail. Within a short grace period it is
     * shorter, because a call that is accepted needs time to end.
     */
    val balancerWait: Duration get() = minOf(maxBalancerWait, gracePeriod.dividedBy(GRACE_DIVISOR))

    private companion object {
        const val GRACE_DIVISOR = 3L
        val BALANCER_WAIT: Duration = Duration.ofMillis(2_300)
        val CLOSE_RESERVE: Duration = Duration.ofMillis(700)
    }
}
