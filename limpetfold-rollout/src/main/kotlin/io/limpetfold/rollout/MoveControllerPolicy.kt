package io.limpetfold.rollout

import java.time.Duration

/**
 * Times of a [MoveController].
 *
 * @property reportTimeout how long one router is waited for.
 * @property orderTimeout how long one order to endpoints may take; also the lease margin for it.
 * @property listLag how long the platform's list may lag; a router absent from it and silent for this long is taken as ended.
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
