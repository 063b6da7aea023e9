package io.limpetfold.claim

import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The latest era of the store that this process knows, and for how long it has known it; safe for concurrent use. */
internal class ClaimEras(
    private val timeSource: TimeSource,
) {
    private var learnedAt: TimeMark = timeSource.markNow()

    @Volatile
    var current = 0L
        private set

    /** How long [current] has been known. */
    val age: Duration @Synchronized get() = learnedAt.elapsedNow()

    @Synchronized
    fun observe(era: Long) {
        if (era <= current) return
        current = era
        learnedAt = timeSource.markNow()
    }
}
