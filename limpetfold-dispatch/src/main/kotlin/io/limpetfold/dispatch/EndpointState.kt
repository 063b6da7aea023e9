package io.limpetfold.dispatch

import io.limpetfold.directory.Endpoint
import java.time.Duration

/** What this router has seen of one incarnation of an endpoint. */
class EndpointState internal constructor(
    endpoint: Endpoint,
    private val policy: PickerPolicy,
) {
    /** The entry last seen of the endpoint. */
    var endpoint: Endpoint = endpoint
        internal set

    /** Calls of this router that the endpoint holds. */
    var inFlight: Int = 0
        private set

    /** Until when the endpoint is passed over. */
    var ejectedUntil: Duration = Duration.ZERO
        private set

    /** Recent share of calls that failed, from 0 to 1. */
    var failureShare: Double = 0.0
        private set

    /** When a byte of any answer was last received. */
    var lastByteAt: Duration = Duration.ZERO
        private set

    private var consecutiveFailures = 0

    internal fun started() {
        inFlight++
    }

    internal fun ended() {
        inFlight--
    }

    /** Notes that bytes were received from the endpoint. */
    fun onBytesReceived(now: Duration) {
        lastByteAt = now
    }

    internal fun succeeded(now: Duration) {
        consecutiveFailures = 0
        failureShare -= failureShare * policy.failureWindow
        lastByteAt = now
    }

    /** The endpoint answered with a failure of its own; it is reachable. */
    internal fun failed(now: Duration) {
        failureShare += (1 - failureShare) * policy.failureWindow
        lastByteAt = now
    }

    /** No answer came; [now] starts an ejection that doubles with each failure in a row. */
    internal fun unreachable(now: Duration) {
        failureShare += (1 - failureShare) * policy.failureWindow
        val shift = consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)
        val ejection = policy.firstEjection.multipliedBy(1L shl shift)
        consecutiveFailures++
        ejectedUntil = maxOf(ejectedUntil, now + minOf(ejection, policy.maxEjection))
    }

    /** The endpoint refused a call without running it. */
    internal fun full(now: Duration) {
        ejectedUntil = maxOf(ejectedUntil, now + policy.fullPause)
        lastByteAt = now
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
    }
}
