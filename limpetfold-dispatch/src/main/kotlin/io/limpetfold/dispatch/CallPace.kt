package io.limpetfold.dispatch

import java.time.Duration

/**
 * When a router may send its next calls to an endpoint with a limit. Immutable.
 *
 * @property nextCallAt when the next call may be sent.
 * @property interval the time between two calls.
 * @property savesCalls whether calls that were not sent may be sent later: all of the last [SAVED_TIME], or the next one at
 * any time. Otherwise a call that is not sent within [USE_TIME] is given up.
 */
internal data class CallPace(
    val nextCallAt: Duration,
    val interval: Duration,
    val savesCalls: Boolean,
) {
    /** The pace at [now], without the calls that were given up until then. */
    fun at(now: Duration): CallPace {
        val unused = now - nextCallAt - USE_TIME
        if (savesCalls || unused <= Duration.ZERO) return this
        return copy(nextCallAt = nextCallAt + interval.multipliedBy(unused.dividedBy(interval) + 1))
    }

    /** The pace after a call that was sent at [now]. */
    fun afterCall(now: Duration): CallPace = copy(nextCallAt = maxOf(nextCallAt, now - SAVED_TIME) + interval)

    private companion object {
        /**
         * Calls which arrive together are not refused where the limit is high. Over four seconds, first and saved calls of
         * all routers included, an endpoint gets less than one and a half times its limit and five calls.
         */
        val SAVED_TIME: Duration = Duration.ofMillis(750)
        val USE_TIME: Duration = Duration.ofSeconds(2)
    }
}
