package io.limpetfold.rollout

import java.time.Duration

/**
 * Time limits of a [MoveController].
 *
 * @property reportTimeout how long to wait for the report of one router.
 * @property orderTimeout how long one order to endpoints may take; also the validity that the lease must have left when
 *   it is sent.
 * @property listLag how far the platform's instance list may lag; a router that is absent from it and was not seen for
 *   this long counts as terminated.
 */
data class MoveControllerPolicy(
    val reportTimeout: Duration = Duration.ofSeconds(1),
    val orderTimeout: Duration = DEFAULT_ORDER_TIMEOUT,
    val listLag: Duration = DEFAULT_LIST_LAG,
) {
    private companion object {
        val DEFAULT_ORDER_TIMEOUT: Duration = Duration.ofSeconds(3)
        val DEFAULT_LIST_LAG: Duration = Duration.ofSeconds(60)
    }
}
