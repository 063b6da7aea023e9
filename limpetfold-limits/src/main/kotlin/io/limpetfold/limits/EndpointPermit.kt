package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import java.util.concurrent.atomic.AtomicBoolean

/** A slot of [endpoint] for one request; it must be released when the request left the endpoint. */
class EndpointPermit internal constructor(
    val endpoint: EndpointId,
    private val onRelease: (EndpointOutcome) -> Unit,
) {
    private val isReleased = AtomicBoolean()

    /** Gives the slot back; a second call changes nothing. */
    fun release(outcome: EndpointOutcome) {
        if (isReleased.compareAndSet(false, true)) onRelease(outcome)
    }
}
