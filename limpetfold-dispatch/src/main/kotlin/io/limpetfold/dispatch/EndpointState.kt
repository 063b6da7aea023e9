package io.limpetfold.dispatch

import io.limpetfold.directory.Endpoint
import java.time.Duration

/** What this router has observed of one incarnation of an endpoint. */
class EndpointState internal constructor(
    endpoint: Endpoint,
    private val policy: PickerPolicy,
) {
    /** The latest directory entry of the endpoint. */
    var endpoint: Endpoint = endpoint
        internal set

    /** Calls of this router in flight at the endpoint. */
    var inFlight: Int = 0
        private set

    /** Until when the endpoint gets no calls while another one may be used. */
    var ejectedUntil: Duration = Duration.ZERO
        private set

    /** Exponential moving average of the share of calls that failed, from 0 to 1. */
    var failureShare: Double = 0.0
        private set

    /** When bytes of a response were last received. */
    var lastByteAt: Duration = Duration.ZERO
        private set

    /** When the endpoint first said that it is leaving; null while it has not. */
    var leavingSince: Duration? = null
        private set

    /** Until when the endpoint gets no calls at all, because it asked for that. */
    var pausedUntil: Duration = Duration.ZERO
        private set

    /** What the endpoint last said about the calls that it takes; null while it has stated no limit. */
    var callLimit: CallLimitStatement? = null
        internal set

    /** When this router may send its next calls; null while the endpoint is not limited. */
    internal var callPace: CallPace? = null

    private var consecutiveFailures = 0

    internal fun onLeaving(now: Duration) {
        if (leavingSince == null) leavingSince = now
    }

    internal fun pause(until: Duration) {
        pausedUntil = maxOf(pausedUntil, until)
    }

    internal fun onCallStarted() {
        inFlight++
    }

    internal fun onCallEnded() {
        inFlight--
    }

    /** Records that bytes were received from the endpoint. */
    fun onBytesReceived(now: Duration) {
        lastByteAt = now
    }

    internal fun onSucceeded(now: Duration) {
        consecutiveFailures = 0
        failureShare -= failureShare * policy.failureSmoothing
        lastByteAt = now
    }

    /** The endpoint responded with an error of its own; it is reachable, so it is not ejected. */
    internal fun onFailed(now: Duration) {
        failureShare += (1 - failureShare) * policy.failureSmoothing
        lastByteAt = now
    }

    /** No response came; ejects the endpoint from [now] on, for twice as long with each consecutive failure. */
    internal fun onUnreachable(now: Duration) {
        failureShare += (1 - failureShare) * policy.failureSmoothing
        val shift = consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)
        val ejection = policy.firstEjection.multipliedBy(1L shl shift)
        consecutiveFailures++
        ejectedUntil = maxOf(ejectedUntil, now + minOf(ejection, policy.maxEjection))
    }

    /** The endpoint refused a call without running it; ejects it for [PickerPolicy.rejectionPause]. */
    internal fun onRejected(now: Duration) {
        ejectedUntil = maxOf(ejectedUntil, now + policy.rejectionPause)
        lastByteAt = now
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
    }
}
