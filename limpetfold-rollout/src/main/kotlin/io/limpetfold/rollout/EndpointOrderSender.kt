package io.limpetfold.rollout

import com.github.michaelbull.result.Result
import java.time.Duration

/** Delivers orders to endpoints. */
fun interface EndpointOrderSender {
    /** Sends [order] and gives up after [timeout], after which the order must not arrive any more; the error says why it failed. */
    suspend fun send(
        order: EndpointOrder,
        timeout: Duration,
    ): Result<Unit, String>
}
