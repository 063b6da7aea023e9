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
        state.callPace = callsPerSecond?.let { paceAt(it, state, now) }
        val isChanged = (callsPerSecond != null) != wasLimited
        if (isChanged || isFarFrom(callsPerSecond, known?.callsPerSecond)) revision++
        return isChanged
    }

    /** From when on the endpoint of [state] takes a call of this router, by what it has said itself. */
    fun availableAt(
        state: EndpointState,
        now: Duration,
    ): Duration = maxOf(state.pausedUntil, state.callPace?.at(now)?.nextCallAt ?: Duration.ZERO)

    /** Acquires one call to the endpoint of [state]; false if this router has to wait for its next one. */
    fun tryAcquire(
        state: EndpointState,
        now: Duration,
    ): Boolean {
        val pace = state.callPace?.at(now) ?: return true
        if (pace.nextCallAt > now) return false
        state.callPace = pace.afterCall(now)
        return true
    }

    /** When a caller that is refused may come back for the endpoint of [state]; another router may take the call then. */
    fun retryAt(
        state: EndpointState,
        now: Duration,
    ): Duration {
        val availableAt = availableAt(state, now)
        val callsPerSecond = state.callLimit?.callsPerSecond ?: return availableAt
        val fleetInterval = Duration.ofNanos((NANOS_PER_SECOND / maxOf(callsPerSecond, MIN_CALLS_PER_SECOND)).toLong())
        return maxOf(state.pausedUntil, minOf(availableAt, now + fleetInterval))
    }

    /**
     * The pace at [callsPerSecond] from [now] on. It goes on from the known pace, unless that has a later call than the
     * new one allows; routers that learn of a limit at the same time do not all send their first call at the same time.
     */
    private fun paceAt(
        callsPerSecond: Double,
        state: EndpointState,
        now: Duration,
    ): CallPace {
        val part = share.of(state.endpoint.id, callsPerSecond)
        val rate = maxOf(callsPerSecond, MIN_CALLS_PER_SECOND) * USED_PART * part.fraction
        val interval = Duration.ofNanos((NANOS_PER_SECOND / rate).toLong())
        val known = state.callPace?.nextCallAt?.takeIf { it <= now + interval }
        val firstCallAt = known ?: (now + interval.share(random.nextDouble()))
        return CallPace(firstCallAt, interval, part.savesCalls)
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

        /** The ratio of two limits from which on the other routers are told of the later one. */
        const val TOLD_RATIO = 1.25

        fun Duration.share(part: Double): Duration = Duration.ofNanos((toNanos() * part).toLong())
    }
}
