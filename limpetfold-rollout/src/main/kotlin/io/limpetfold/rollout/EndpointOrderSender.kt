package io.limpetfold.rollout

import com.github.michaelbull.result.Result
import java.time.Duration

/** Delivers orders to endpoints. */
fun interface EndpointOrderSender {
    /**
     * Sends [order] and fails after [timeout]; the order must not be delivered after that.
     *
     * The error describes the failure.
     */
    suspend fun send(
        order: EndpointOrder,
        timeout: Duration,
    ): Result<Unit, String>
}
