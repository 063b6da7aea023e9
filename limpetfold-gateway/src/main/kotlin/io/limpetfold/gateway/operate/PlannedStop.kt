package io.limpetfold.gateway.operate

import io.limpetfold.gateway.MonotonicClock
import java.time.Duration

/** The planned stop of a router: when it began, and which calls are still taken. */
internal class PlannedStop(
    private val currentPolicy: () -> ShutdownPolicy,
    private val clock: MonotonicClock,
) {
    @Volatile
    private var policy = currentPolicy()

    @Volatile
    private var beganAt: Duration? = null

    @Volatile
    private var isClosing = false

    /** When the calls that still run are cut; null before [begin]. */
    private val endsAt: Duration? get() = beganAt?.let { it + policy.gracePeriod - policy.closeReserve }

    /** The time left for running calls; zero before [begin]. */
    val timeLeft: Duration get() = maxOf(Duration.ZERO, (endsAt ?: Duration.ZERO) - clock.now())

    /** Begins the stop; from then on its policy stays. */
    fun begin() {
        policy = currentPolicy()
        beganAt = clock.now()
    }

    /** Ends the taking of calls, because what they need is being given back. */
    fun refuseAll() {
        isClosing = true
    }

    /** Whether a call that its caller awaits until [callEndsAt] is taken: one that may outlast the stop would be cut. */
    fun mayTake(callEndsAt: Duration): Boolean {
        val began = beganAt ?: return true
        if (isClosing) return false
        return clock.now() - began < policy.balancerWait || callEndsAt <= endsAt
    }
}
