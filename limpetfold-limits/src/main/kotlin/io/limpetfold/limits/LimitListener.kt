package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.InstanceId
import java.time.Duration

/** Observes an [EndpointLimiter]; calls must return quickly and must not call the limiter. */
interface LimitListener {
    /** A request got a slot after [waited]. */
    fun onAcquired(
        endpoint: EndpointId,
        waited: Duration,
    ) = Unit

    /** A request got no slot. */
    fun onRefused(refusal: LimitRefusal) = Unit

    /** An endpoint was taken out of rotation; [reporter] is the peer that reported it, or null for this router. */
    fun onTakenOut(
        endpoint: EndpointId,
        reporter: InstanceId?,
    ) = Unit

    /** An endpoint came back after a successful probe. */
    fun onReturned(endpoint: EndpointId) = Unit

    /** This router lent [slots] of an endpoint to [peer]. */
    fun onLent(
        endpoint: EndpointId,
        peer: InstanceId,
        slots: Int,
    ) = Unit

    companion object {
        val NONE: LimitListener = object : LimitListener {}
    }
}
