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
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
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
     * Forwards [response] until it ends, is interrupted or is handed over.
     *
     * A stream whose endpoint is silent goes on waiting for it until another one has taken the stream over by
     * [handover]: silence alone never ends a stream.
     */
    suspend fun forward(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        response: UpstreamResponse,
        handover: StreamHandover,
    ): SendResult {
        val framer = ServerSentEventFramer()
        val deliveredBefore = call.deliveredEvents
        while (true) {
            val chunk =
                when (val progress = nextProgress(call, state, response, handover)) {
                    is Progress.Received -> progress.chunk
                    is Progress.Left -> return left(progress)
                }
            val bytes =
                chunk.getOrElse {
                    return interrupted("${it.reason.name.lowercase()}: ${it.message}", it.isConnectionLost)
                }
            if (bytes == null) {
                val hasEvents = call.deliveredEvents > deliveredBefore
                return complete(exchange, call, response, framer, hasEvents)
            }
            state.onBytesReceived(clock.now())
            handover.onProgress()
            val frames = framer.feed(bytes).getOrElse { return interrupted(it.message) }
            if (frames.isNotEmpty()) writeEvents(exchange, call, response, frames)
        }
    }

    /** Aborts the connection to the caller, so that the caller sees that the stream is incomplete. */
    fun abort() {
        sink?.abort()
    }

    private val silenceLimit: Duration get() = if (hasStarted) policy.stallTimeout else policy.firstEventTimeout

    /** What a stream did next. */
    private sealed interface Progress {
        /** The next piece of the response, its end or its failure. */
        class Received(
            val chunk: Result<ByteArray?, UpstreamError>,
        ) : Progress

        /** The stream has left its silent endpoint. */
        class Left(
            val isHandedOver: Boolean,
        ) : Progress
    }

    private fun left(progress: Progress.Left): SendResult {
        val reason = "no byte for ${silenceLimit.toMillis()} ms"
        return if (progress.isHandedOver) SendResult.HandedOver(reason) else interrupted(reason)
    }

    private suspend fun nextProgress(
        call: AdmittedCall,
        state: EndpointState,
        response: UpstreamResponse,
        handover: StreamHandover,
    ): Progress {
        if (!call.route.isResumable) return Progress.Received(response.next())
        var chunk = withTimeoutOrNull(silenceLimit.toMillis()) { response.next() }
        while (chunk == null) {
            val isSilent = clock.now() - state.lastByteAt >= silenceLimit
            if (isSilent && handover.isPossible) offer(response, handover)?.let { return it }
            chunk = withTimeoutOrNull(STALL_CHECK_INTERVAL.toMillis()) { response.next() }
        }
        return Progress.Received(chunk)
    }

    /**
     * Offers the stream to another endpoint while [response] is still read. Returns null if the other one does not take
     * it. Whichever goes on first keeps the stream; a failure of the own endpoint leaves it to the other one.
     */
    private suspend fun offer(
        response: UpstreamResponse,
        handover: StreamHandover,
    ): Progress? =
        coroutineScope {
            val reading = async { response.next() }
            val offering = async { handover.offer() }
            withTimeoutOrNull(MAX_OFFER_TIME.toMillis()) {
                select {
                    reading.onJoin { }
                    offering.onJoin { }
                }
            }
            // A cancelled read loses no piece, but one that has ended holds its piece.
            reading.cancelAndJoin()
            val own = if (reading.isCancelled) null else reading.await()
            when {
                own != null && own.isOk -> {
                    offering.cancelAndJoin()
                    handover.withdraw()
                    Progress.Received(own)
                }
                own == null && offering.isCompleted ->
                    handedOver(offering)
                own == null && handover.postpone() -> {
                    offering.cancelAndJoin()
                    if (offering.isCancelled) null else handedOver(offering)
                }
                else -> {
                    response.close()
                    val isTaken = offering.await()
                    if (own == null || isTaken) Progress.Left(isTaken) else Progress.Received(own)
                }
            }
        }

    private suspend fun handedOver(offering: Deferred<Boolean>): Progress? =
        if (offering.await()) Progress.Left(isHandedOver = true) else null

    private suspend fun complete(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
        framer: ServerSentEventFramer,
        hasEvents: Boolean,
    ): SendResult {
        if (framer.incompleteEventBytes > 0) {
            return interrupted("the stream ended inside an event", response.head.isCloseDelimited)
        }
        if (response.head.isCloseDelimited && !hasEvents) {
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

        /**
         * How long two endpoints may hold a stream, one silent and one asked to go on, so that both do not run it for
         * long; after it the stream leaves one of them.
         */
        val MAX_OFFER_TIME: Duration = Duration.ofMillis(300)
    }
}
