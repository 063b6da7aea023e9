package io.limpetfold.http

import java.time.Duration

/**
 * How long a connection may stay idle while the limits change: the longest idle timeout, with its margin, since the
 * connection went idle. A lowered timeout therefore applies only once the connection has been used again.
 *
 * Not safe for concurrent use.
 *
 * @param initial the limits in force when the connection was opened.
 */
internal class IdleAllowance(
    initial: ConnectionLimits,
) {
    /** The time after which the idle connection is closed. */
    var duration: Duration = keptFor(initial)
        private set

    /** Starts an idle period after a response that [announced] limits, under those in force at its end. */
    fun restart(
        announced: ConnectionLimits,
        current: ConnectionLimits,
    ) {
        duration = maxOf(keptFor(announced), keptFor(current))
    }

    /** Applies the limits that came into force during the idle period. */
    fun extend(current: ConnectionLimits) {
        duration = maxOf(duration, keptFor(current))
    }

    private fun keptFor(limits: ConnectionLimits): Duration = limits.idleTimeout + limits.idleMargin
}
