package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.InstanceId
import java.time.Duration

/** Observes an [EndpointLimiter]; its functions must return quickly and must not call the limiter. */
interface LimitListener {
    /** A request got a slot after waiting for [waited]. */
    fun onAcquired(
        endpoint: EndpointId,
        waited: Duration,
    ) = Unit

    /** A request got no slot. */
    fun onRefused(refusal: LimitRefusal) = Unit

    /**
     * An endpoint was removed from rotation; [reporter] is the peer whose notice caused it, or null for this router.
     */
    fun onRemovedFromRotation(
        endpoint: EndpointId,
        reporter: InstanceId?,
    ) = Unit

    /** An endpoint returned to rotation after a successful probe. */
    fun onReturnedToRotation(endpoint: EndpointId) = Unit

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
