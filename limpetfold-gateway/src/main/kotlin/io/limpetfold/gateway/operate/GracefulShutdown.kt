package io.limpetfold.gateway.operate

import io.limpetfold.gateway.MonotonicClock
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Job
import java.time.Duration

/** State of the graceful shutdown of a router; decides which calls are still accepted. */
internal class GracefulShutdown(
    private val currentPolicy: () -> ShutdownPolicy,
    private val clock: MonotonicClock,
) {
    @Volatile
    private var policy = currentPolicy()

    @Volatile
    private var startedAt: Duration? = null

    @Volatile
    private var isClosing = false
    private val drainEnd = Job()

    /** Monotonic time at which calls that are still running are ended; null before [start]. */
    private val drainDeadline: Duration? get() = startedAt?.let { it + policy.gracePeriod - policy.closeReserve }

    /** Time left for running calls; zero before [start] and after the drain deadline. */
    val timeLeft: Duration get() = maxOf(Duration.ZERO, (drainDeadline ?: Duration.ZERO) - clock.now())

    /** Starts the shutdown with the current policy, which later changes of the settings do not affect. */
    fun start() {
        policy = currentPolicy()
        startedAt = clock.now()
    }

    /** Refuses all further calls, because the tokens that they need are being returned. */
    fun stopAccepting() {
        isClosing = true
    }

    /** Ends the drain: calls that are still running get their last answer now. */
    fun endDrain() {
        drainEnd.complete()
    }

    /** Calls [action] when the drain ends. */
    fun onDrainEnded(action: () -> Unit): DisposableHandle = drainEnd.invokeOnCompletion { action() }

    /**
     * Whether a call with [callDeadline] is accepted. After the balancer wait, a call that may outlast the shutdown is
     * refused, as it would not end in time.
     */
    fun acceptsCall(callDeadline: Duration): Boolean {
        val started = startedAt ?: return true
        if (isClosing) return false
        return clock.now() - started < policy.balancerWait || callDeadline <= drainDeadline
    }
}
