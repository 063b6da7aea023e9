package io.limpetfold.limits

import kotlin.time.Duration
import kotlin.time.TimeMark

/** Whether an endpoint takes new requests; not safe for concurrent use. */
internal class Rotation {
    private var nextProbe: TimeMark? = null
    private var pause: Duration = Duration.ZERO

    /** The platform's list shows the endpoint as leaving; it is not probed meanwhile. */
    var isListedLeaving = false
    var isIn = true
        private set

    /** Takes the endpoint out and returns true when it was in. */
    fun takeOut(
        now: TimeMark,
        firstPause: Duration,
    ): Boolean {
        val wasIn = isIn
        if (wasIn) {
            pause = firstPause
            nextProbe = now + pause
        }
        isIn = false
        return wasIn
    }

    fun isProbeDue(): Boolean = !isIn && !isListedLeaving && nextProbe?.hasPassedNow() == true

    /** Records a probe that succeeded or not; returns true when the endpoint came back. */
    fun onProbed(
        isReady: Boolean,
        now: TimeMark,
        maxPause: Duration,
    ): Boolean {
        if (isIn) return false
        if (isReady && !isListedLeaving) {
            isIn = true
            return true
        }
        pause = (pause * 2).coerceAtMost(maxPause)
        nextProbe = now + pause
        return false
    }
}
