package io.limpetfold.gateway

import java.time.Duration
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/** Time since the start of the process, which steps of the time of day do not change. */
class MonotonicClock(
    source: TimeSource = TimeSource.Monotonic,
) {
    private val start = source.markNow()

    /** Returns the time since the start. */
    fun now(): Duration = start.elapsedNow().toJavaDuration()
}
