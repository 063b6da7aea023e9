package io.limpetfold.dispatch

import java.time.Duration
import kotlin.random.Random

/**
 * Paces the calls to endpoints that take a limited number of calls a second from all routers together. Not safe for
 * concurrent use.
 */
class EndpointCallLimits(
    private val share: CallShare = CallShare.WHOLE,
    private val random: Random = Random.Default,
) {
    /** Increases with each statement of an endpoint that differs enough from the last one to be told to other routers. */
    var revision: Long = 0
        private set

    /**
     * Applies what the endpoint of [state] said at [statement]; an older statement than the known one has no effect.
     * Returns whether the endpoint is limited from now on and was not before, or the other way round.
     */
    fun apply(
        state: EndpointState,
        statement: CallLimitStatement,
        now: Duration,
    ): Boolean {
        val known = state.callLimit
        if (known != null && statement.statedAt <= known.statedAt) return false
        state.callLimit = statement
        val callsPerSecond = statement.callsPerSecond
        val wasLimited = known?.callsPerSecond != null
        if (callsPerSecond != null) {
            val interval = interval(state, callsPerSecond)
            // Routers that learn of a limit at the same time do not all send their first call at the same time, and one
            // that waits at the pace of a lower limit does not wait longer than at the new one.
            if (!wasLimited || state.nextCallAt > now + interval) {
                state.nextCallAt = now + interval.share(random.nextDouble())
            }
        }
        val isChanged = (callsPerSecond != null) != wasLimited
        if (isChanged || isFarFrom(callsPerSecond, known?.callsPerSecond)) revision++
        return isChanged
    }

    /** Acquires one call to the endpoint of [state]; false if this router has to wait until [EndpointState.availableAt]. */
    fun tryAcquire(
        state: EndpointState,
        now: Duration,
    ): Boolean {
        val callsPerSecond = state.callLimit?.callsPerSecond ?: return true
        if (state.nextCallAt > now) return false
        state.nextCallAt = maxOf(state.nextCallAt, now - SAVED_TIME) + interval(state, callsPerSecond)
        return true
    }

    /** When a caller that is refused may come back for the endpoint of [state]; another router may take the call then. */
    fun retryAt(
        state: EndpointState,
        now: Duration,
    ): Duration {
        val callsPerSecond = state.callLimit?.callsPerSecond ?: return state.availableAt
        val fleetInterval = Duration.ofNanos((NANOS_PER_SECOND / maxOf(callsPerSecond, MIN_CALLS_PER_SECOND)).toLong())
        return maxOf(state.pausedUntil, minOf(state.availableAt, now + fleetInterval))
    }

    private fun interval(
        state: EndpointState,
        callsPerSecond: Double,
    ): Duration {
        val rate = maxOf(callsPerSecond, MIN_CALLS_PER_SECOND) * USED_PART
        return Duration.ofNanos((NANOS_PER_SECOND / (rate * share.of(state.endpoint.id, callsPerSecond))).toLong())
    }

    private fun isFarFrom(
        current: Double?,
        known: Double?,
    ): Boolean = current != null && known != null && (current > known * TOLD_RATIO || current * TOLD_RATIO < known)

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /** Calls with which routers notice that an endpoint which takes none has begun to take calls again. */
        const val MIN_CALLS_PER_SECOND = 0.1

        /** The rest is for calls of routers that do not know of the limit yet. */
        const val USED_PART = 0.9

        /**
         * The calls of this time may be sent at once if they were not before, so that calls which arrive together are not
         * refused where the limit is high. Over four seconds, first and saved calls of all routers included, an endpoint
         * gets less than one and a half times its limit and five calls.
         */
        val SAVED_TIME: Duration = Duration.ofMillis(750)

        /** The ratio of two limits from which on the other routers are told of the later one. */
        const val TOLD_RATIO = 1.25

        fun Duration.share(part: Double): Duration = Duration.ofNanos((toNanos() * part).toLong())
    }
}
