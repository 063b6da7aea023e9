package io.limpetfold.gateway.call

import io.limpetfold.dispatch.CallLimitStatement
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.http.ResponseHead
import java.time.Duration

/**
 * Applies what endpoints say about themselves in their responses: that they are leaving, that they want no calls for a
 * while, or that they take a limited number of calls. The first two bind this router alone; the others see the responses
 * that they get, and the store tells all of them of a planned stop.
 */
internal class EndpointNotices(
    private val picker: EndpointPicker,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val observer: EndpointNoticeObserver,
) {
    /** Reads the head of a response to a call that was sent to the endpoint of [intended] at [sentAt]. */
    fun onResponse(
        intended: EndpointState,
        head: ResponseHead,
        sentAt: Duration,
    ) {
        val responder = codec.responder(head, intended.endpoint.id) ?: return
        val isIntended = responder == intended.endpoint.id
        val state = if (isIntended) intended else picker.state(responder, clock.now()) ?: return
        if (codec.isLeaving(head)) onLeaving(state)
        if (head.status == SERVICE_UNAVAILABLE) head.headers["Retry-After"]?.let { onRetryAfter(state, it) }
        onCallLimit(state, codec.callLimit(head), sentAt)
    }

    private fun onCallLimit(
        state: EndpointState,
        value: String?,
        sentAt: Duration,
    ) = when (val stated = StatedCallLimit.parse(value)) {
        is StatedCallLimit.Limited -> applyCallLimit(state, stated.callsPerSecond)
        StatedCallLimit.Unlimited -> onNoCallLimit(state, sentAt)
        StatedCallLimit.Invalid -> observer.onCallLimitIgnored(state.endpoint, value.orEmpty())
    }

    /** Ends a limit, unless the call was sent before the limit was stated: its response may be older than that. */
    private fun onNoCallLimit(
        state: EndpointState,
        sentAt: Duration,
    ) {
        val known = state.callLimit ?: return
        if (known.callsPerSecond != null && sentAt >= known.statedAt) applyCallLimit(state, callsPerSecond = null)
    }

    private fun applyCallLimit(
        state: EndpointState,
        callsPerSecond: Double?,
    ) {
        val now = clock.now()
        val isChanged = picker.callLimits.apply(state, CallLimitStatement(callsPerSecond, now), now)
        if (isChanged) observer.onCallLimit(state.endpoint, callsPerSecond)
    }

    private fun onLeaving(state: EndpointState) {
        if (state.leavingSince != null) return
        picker.onLeaving(state, clock.now())
        observer.onLeaving(state.endpoint)
    }

    private fun onRetryAfter(
        state: EndpointState,
        value: String,
    ) = when (val retryAfter = RetryAfter.parse(value)) {
        is RetryAfter.Seconds -> pause(state, retryAfter.pause)
        RetryAfter.TooLong -> {
            observer.onRetryAfterLimited(state.endpoint, value, RetryAfter.MAX_PAUSE)
            pause(state, RetryAfter.MAX_PAUSE)
        }
        RetryAfter.Invalid -> observer.onRetryAfterIgnored(state.endpoint, value)
    }

    private fun pause(
        state: EndpointState,
        pause: Duration,
    ) {
        val now = clock.now()
        val isFirst = state.pausedUntil <= now
        picker.pause(state, now + pause)
        if (isFirst) observer.onPaused(state.endpoint, pause)
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}
