package io.limpetfold.standins

import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** A token bucket that allows [perSecond] calls a second, and bursts of up to [perSecond] calls. */
internal class TokenBucket(
    private val perSecond: Int,
    time: TimeSource = TimeSource.Monotonic,
) {
    private val start = time.markNow()
    private var tokens = perSecond.toDouble()
    private var refilledAtSeconds = 0.0

    /** Takes the token of one call; returns false when the bucket has none. */
    @Synchronized
    fun tryAcquire(): Boolean {
        val now = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        tokens = minOf(perSecond.toDouble(), tokens + (now - refilledAtSeconds) * perSecond)
        refilledAtSeconds = now
        if (tokens < 1) return false
        tokens--
        return true
    }
}
