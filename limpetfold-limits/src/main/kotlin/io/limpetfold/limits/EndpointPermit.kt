package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import java.util.concurrent.atomic.AtomicBoolean

/** A slot of [endpoint] for one request; release it when the request no longer runs at the endpoint. */
class EndpointPermit internal constructor(
    val endpoint: EndpointId,
    private val onRelease: (EndpointOutcome) -> Unit,
) {
    private val isReleased = AtomicBoolean()

    /** Releases the slot; idempotent, and only the first call's [outcome] counts. */
    fun release(outcome: EndpointOutcome) {
        if (isReleased.compareAndSet(false, true)) onRelease(outcome)
    }
}
