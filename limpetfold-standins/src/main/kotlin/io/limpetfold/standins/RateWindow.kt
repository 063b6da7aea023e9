package io.limpetfold.standins

import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Allows [perSecond] calls a second with bursts of as many. */
internal class RateWindow(
    private val perSecond: Int,
    time: TimeSource = TimeSource.Monotonic,
) {
    private val start = time.markNow()
    private var tokens = perSecond.toDouble()
    private var lastSeconds = 0.0

    /** Takes one call, or returns false at the limit. */
    @Synchronized
    fun tryAcquire(): Boolean {
        val now = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        tokens = minOf(perSecond.toDouble(), tokens + (now - lastSeconds) * perSecond)
        lastSeconds = now
        if (tokens < 1) return false
        tokens--
        return true
    }
}
