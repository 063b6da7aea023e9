package io.limpetfold.budget

import java.time.Duration
import kotlin.math.exp

/**
 * Exponentially weighted rate of requested tokens.
 *
 * @property tokensPerSecond the rate at [atMillis], in monotonic time.
 */
data class DemandRate(
    val tokensPerSecond: Double = 0.0,
    val atMillis: Long = 0,
) {
    /** The rate decayed to [nowMillis], without requests since [atMillis]. */
    fun at(
        nowMillis: Long,
        windowMillis: Long,
    ): Double = tokensPerSecond * exp(-maxOf(0, nowMillis - atMillis).toDouble() / windowMillis)

    /** The rate after a request for [tokens] at [nowMillis]. */
    fun plus(
        tokens: Long,
        nowMillis: Long,
        windowMillis: Long,
    ): DemandRate =
        DemandRate(at(nowMillis, windowMillis) + tokens * MILLIS_PER_SECOND / windowMillis, maxOf(nowMillis, atMillis))

    /** The tokens that are requested within [horizon] at this rate. */
    fun tokensFor(horizon: Duration): Long = (tokensPerSecond * horizon.toMillis() / MILLIS_PER_SECOND).toLong()

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
