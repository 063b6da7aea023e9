package io.limpetfold.limits

import kotlin.time.Duration
import kotlin.time.TimeMark

/** Whether an endpoint gets new requests and, if not, when it is probed next; not safe for concurrent use. */
internal class RotationState {
    private var nextProbe: TimeMark? = null
    private var probeDelay: Duration = Duration.ZERO

    /** Whether the platform's list shows the endpoint as leaving; such an endpoint is not probed. */
    var isListedLeaving = false
    var isInRotation = true
        private set

    /** Removes the endpoint from rotation; returns false when it was already removed. */
    fun remove(
        now: TimeMark,
        firstDelay: Duration,
    ): Boolean {
        val wasIn = isInRotation
        if (wasIn) {
            probeDelay = firstDelay
            nextProbe = now + probeDelay
        }
        isInRotation = false
        return wasIn
    }

    fun isProbeDue(): Boolean = !isInRotation && !isListedLeaving && nextProbe?.hasPassedNow() == true

    /** Records the result of a probe; returns true when the endpoint returns to rotation. */
    fun onProbed(
        isReady: Boolean,
        now: TimeMark,
        maxDelay: Duration,
    ): Boolean {
        if (isInRotation) return false
        if (isReady && !isListedLeaving) {
            isInRotation = true
            return true
        }
        probeDelay = (probeDelay * 2).coerceAtMost(maxDelay)
        nextProbe = now + probeDelay
        return false
    }
}
