package io.limpetfold.gateway.call

import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.http.ResponseHead
import java.time.Duration

/**
 * Applies what endpoints say about themselves in their responses: that they are leaving, or that they want no calls for a
 * while. It binds this router alone; the others see the responses that they get, and the store tells all of them of a
 * planned stop.
 */
internal class EndpointNotices(
    private val picker: EndpointPicker,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val observer: EndpointNoticeObserver,
) {
    /** Reads the head of a response to a call that was sent to the endpoint of [intended]. */
    fun onResponse(
        intended: EndpointState,
        head: ResponseHead,
    ) {
        val responder = codec.responder(head, intended.endpoint.id) ?: return
        val isIntended = responder == intended.endpoint.id
        val state = if (isIntended) intended else picker.state(responder, clock.now()) ?: return
        if (codec.isLeaving(head)) onLeaving(state)
        if (head.status == SERVICE_UNAVAILABLE) head.headers["Retry-After"]?.let { onRetryAfter(state, it) }
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
