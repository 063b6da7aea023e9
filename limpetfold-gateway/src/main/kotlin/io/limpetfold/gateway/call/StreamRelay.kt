package io.limpetfold.gateway.call

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.ResponseSink
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.stream.ServerSentEventFrame
import io.limpetfold.stream.ServerSentEventFramer
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.time.Duration

/**
 * Forwards the events of one stream to the caller, complete events only, and across endpoints when the stream is
 * resumed.
 *
 * The response head is written together with the first event, so that until then the call can still be sent to another
 * endpoint.
 */
internal class StreamRelay(
    private val clock: MonotonicClock,
    private val codec: CallCodec,
    private val policy: CallPolicy,
) {
    private var sink: ResponseSink? = null

    /** Id of the last event with an id that was written to the caller. */
    var lastEventId: String? = null
        private set

    /** Whether the response to the caller was started. */
    val hasStarted: Boolean get() = sink != null

    /**
     * Forwards [response] until it ends, is interrupted or stalls.
     *
     * A stalled stream goes on waiting for its endpoint until [mayLeave] is true: silence alone never ends a stream.
     */
    suspend fun forward(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        response: UpstreamResponse,
        mayLeave: () -> Boolean,
    ): SendResult {
        val framer = ServerSentEventFramer()
        while (true) {
            val chunk =
                nextChunk(call, state, response, mayLeave)
                    ?: return interrupted("no byte for ${silenceLimit.toMillis()} ms")
            val bytes =
                chunk.getOrElse {
                    return interrupted("${it.reason.name.lowercase()}: ${it.message}", it.isConnectionLost)
                }
            if (bytes == null) return complete(exchange, call, response, framer)
            state.onBytesReceived(clock.now())
            val frames = framer.feed(bytes).getOrElse { return interrupted(it.message) }
            if (frames.isNotEmpty()) writeEvents(exchange, call, response, frames)
        }
    }

    /** Aborts the connection to the caller, so that the caller sees that the stream is incomplete. */
    fun abort() {
        sink?.abort()
    }

    private val silenceLimit: Duration get() = if (hasStarted) policy.stallTimeout else policy.firstEventTimeout

    /**
     * Returns null if a resumable stream stalled, its endpoint sent no byte on any other connection either, and the
     * stream may leave it.
     */
    private suspend fun nextChunk(
        call: AdmittedCall,
        state: EndpointState,
        response: UpstreamResponse,
        mayLeave: () -> Boolean,
    ): Result<ByteArray?, UpstreamError>? {
        if (!call.route.isResumable) return response.next()
        var result = withTimeoutOrNull(silenceLimit.toMillis()) { response.next() }
        while (result == null && (clock.now() - state.lastByteAt < silenceLimit || !mayLeave())) {
            result = withTimeoutOrNull(STALL_CHECK_INTERVAL.toMillis()) { response.next() }
        }
        return result
    }

    private suspend fun complete(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
        framer: ServerSentEventFramer,
    ): SendResult {
        if (framer.incompleteEventBytes > 0) {
            return interrupted("the stream ended inside an event", response.head.isCloseDelimited)
        }
        if (response.head.isCloseDelimited && call.deliveredEvents == 0) {
            return interrupted("the connection closed before the first event", isConnectionLost = true)
        }
        val openSink = sink ?: startResponse(exchange, call, response)
        openSink.finish()
        return SendResult.Delivered(response.head.status)
    }

    /** Writes events that arrived together in one step, because each write costs a system call and a packet. */
    private suspend fun writeEvents(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
        frames: List<ServerSentEventFrame>,
    ) {
        val openSink = sink ?: startResponse(exchange, call, response)
        call.deliveredEvents += frames.size
        openSink.write(frames.singleOrNull()?.bytes ?: joined(frames))
        frames.lastOrNull { it.id != null }?.let { lastEventId = it.id }
    }

    private fun joined(frames: List<ServerSentEventFrame>): ByteArray {
        val joined = ByteArrayOutputStream(frames.sumOf { it.bytes.size })
        frames.forEach { joined.write(it.bytes) }
        return joined.toByteArray()
    }

    private suspend fun startResponse(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
    ): ResponseSink {
        call.isResponseStarted = true
        call.firstByteAt = clock.now()
        return exchange.respondStream(response.head.status, codec.callerHeaders(response.head)).also { sink = it }
    }

    private fun interrupted(
        reason: String,
        isConnectionLost: Boolean = false,
    ): SendResult =
        if (hasStarted) {
            SendResult.Interrupted(reason, isConnectionLost)
        } else {
            SendResult.Unknown(reason, isConnectionLost)
        }

    private companion object {
        val STALL_CHECK_INTERVAL: Duration = Duration.ofMillis(100)
    }
}
