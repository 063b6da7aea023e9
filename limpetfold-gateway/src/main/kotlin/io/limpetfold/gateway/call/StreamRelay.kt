package io.limpetfold.gateway.call

import com.github.michaelbull.result.getOrElse
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.ResponseSink
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.stream.ServerSentEventFrame
import io.limpetfold.stream.ServerSentEventFramer
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/**
 * Passes the events of one stream on, whole events only, over as many endpoints as the stream needs.
 *
 * The head goes out with the first event, so that until then another endpoint can still take the call.
 */
internal class StreamRelay(
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
) {
    private var sink: ResponseSink? = null

    /** The identity of the last event that went to the caller. */
    var lastEventId: String? = null
        private set

    /** Whether the head and an event went to the caller. */
    val hasBegun: Boolean get() = sink != null

    /** Passes on [answer] until its end, or until it breaks off or stalls. */
    suspend fun pass(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        answer: UpstreamResponse,
    ): SendResult {
        val framer = ServerSentEventFramer()
        while (true) {
            val piece =
                next(call, state, answer)
                    ?: return interrupted("no byte for ${policy.stallTimeout.toMillis()} ms")
            val bytes = piece.getOrElse { return interrupted("${it.reason.name.lowercase()}: ${it.message}") }
            if (bytes == null) return end(exchange, call, answer, framer)
            state.onBytesReceived(clock.now())
            for (frame in framer.feed(bytes)) write(exchange, call, answer, frame)
        }
    }

    /** Cuts the connection, so that the caller sees that the stream is not complete. */
    fun abort() {
        sink?.abort()
    }

    /** Returns null when a resumable stream stalled and its endpoint gave no other sign of life. */
    private suspend fun next(
        call: AdmittedCall,
        state: EndpointState,
        answer: UpstreamResponse,
    ) = if (!call.route.isResumable) {
        answer.next()
    } else {
        var result = withTimeoutOrNull(policy.stallTimeout.toMillis()) { answer.next() }
        while (result == null && clock.now() - state.lastByteAt < policy.stallTimeout) {
            result = withTimeoutOrNull(STALL_CHECK.toMillis()) { answer.next() }
        }
        result
    }

    private suspend fun end(
        exchange: HttpExchange,
        call: AdmittedCall,
        answer: UpstreamResponse,
        framer: ServerSentEventFramer,
    ): SendResult {
        if (framer.incompleteEventBytes > 0) return interrupted("the stream ended inside an event")
        val open = sink ?: open(exchange, call, answer)
        open.finish()
        return SendResult.Delivered(answer.head.status)
    }

    private suspend fun write(
        exchange: HttpExchange,
        call: AdmittedCall,
        answer: UpstreamResponse,
        frame: ServerSentEventFrame,
    ) {
        val open = sink ?: open(exchange, call, answer)
        call.deliveredEvents++
        open.write(frame.bytes)
        if (frame.id != null) lastEventId = frame.id
    }

    private suspend fun open(
        exchange: HttpExchange,
        call: AdmittedCall,
        answer: UpstreamResponse,
    ): ResponseSink {
        call.isAnswerBegun = true
        call.firstByteAt = clock.now()
        return exchange.respondStream(answer.head.status, answer.head.headers.withoutHopByHop()).also { sink = it }
    }

    private fun interrupted(reason: String): SendResult =
        if (hasBegun) SendResult.Interrupted(reason) else SendResult.Unknown(reason)

    private companion object {
        val STALL_CHECK: Duration = Duration.ofMillis(100)
    }
}
