package io.limpetfold.gateway

import java.time.Duration
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/** Measures the time since its creation; not affected by adjustments of the system clock. */
class MonotonicClock(
    source: TimeSource = TimeSource.Monotonic,
) {
    private val start = source.markNow()

    fun now(): Duration = start.elapsedNow().toJavaDuration()
}
