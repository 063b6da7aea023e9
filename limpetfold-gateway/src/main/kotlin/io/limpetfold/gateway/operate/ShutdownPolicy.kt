package io.limpetfold.gateway.operate

import java.time.Duration

/**
 * Times of a planned stop.
 *
 * @property balancerWait how long every call is still taken after readiness went off, so that the platform's balancer notices. After
 * it idle connections are closed, and a call is taken only when its whole time lies within the stop.
 * @property gracePeriod the time from the signal to the end of the process, with the return of grants and the close included.
 * @property closeReserve the part of [gracePeriod] that is kept for the return of grants and the close.
 */
data class ShutdownPolicy(
    val balancerWait: Duration = BALANCER_WAIT,
    val gracePeriod: Duration = Duration.ofSeconds(8),
    val closeReserve: Duration = CLOSE_RESERVE,
) {
    private companion object {
        val BALANCER_WAIT: Duration = Duration.ofMillis(2_300)
        val CLOSE_RESERVE: Duration = Duration.ofMillis(700)
    }
}
