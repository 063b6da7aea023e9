package io.limpetfold.router.call

import com.github.michaelbull.result.getOrElse
import io.limpetfold.http.ServerSentEventReader
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Relays one model stream to the caller, resumes it at its engine when the connection breaks, and truncates it at the
 * reserved output limit.
 *
 * A response ends without an error only after the engine's `[DONE]` event or at the reserved output limit.
 */
internal class ModelStream(
    private val call: Call,
    private val result: ForwardResult.Responding,
    private val engineClient: EngineClient,
    private val meter: TokenMeter,
    private val writer: ResponseWriter,
) {
    private var firstTokenAt: TimeMark? = null
    private var lastTokenAt: TimeMark? = null
    private var resumeCount = 0

    /** Time from the arrival of the call to its first token, or null before it. */
    var firstToken: Duration? = null
        private set

    /** Mean time between tokens, or null before the second one. */
    val betweenTokens: Duration?
        get() {
            val first = firstTokenAt ?: return null
            val last = lastTokenAt ?: return null
            val gaps = meter.eventCount - 1
            val total = first.elapsedNow() - last.elapsedNow()
            return if (gaps < 1) null else Duration.ofNanos((total / gaps.toInt()).inWholeNanoseconds)
        }

    /**
     * Relays the stream. Calls [settle], which charges the tokens used and returns their number, before the last part
     * is sent.
     *
     * The stream ends at the deadline of the call even when the caller reads slowly, because the endpoint limiter
     * relies on a bounded duration of requests.
     */
    suspend fun relay(settle: suspend () -> Long): CallEnd =
        when (val end = withTimeoutOrNull(call.remainingTime().toMillis()) { relayConnections() }) {
            StreamEnd.Done -> finish(settle, isTruncated = false)
            StreamEnd.Truncated -> {
                engineClient.cancel(call, result.attempt, meter)
                finish(settle, isTruncated = true)
            }
            is StreamEnd.Failed -> fail(settle, end.reason)
            is StreamEnd.Broken -> fail(settle, end.reason)
            null -> fail(settle, "the request exceeded the time limit of its route")
        }

    /** Relays the stream over all its connections and returns how it ended. */
    private suspend fun relayConnections(): StreamEnd {
        var response = result.response
        while (true) {
            val streamEnd = response.use { relayConnection(it) }
            if (streamEnd !is StreamEnd.Broken) return streamEnd
            call.trace.add("stream broken events=${meter.eventCount} cause=\"${streamEnd.reason}\"")
            response = resume() ?: return streamEnd
        }
    }

    private suspend fun relayConnection(response: UpstreamResponse): StreamEnd {
        val reader = ServerSentEventReader()
        while (true) {
            val chunk = response.next().getOrElse { return StreamEnd.Broken(it.message) }
            if (chunk == null) return StreamEnd.Broken("the engine ended the stream without an end mark")
            val events =
                try {
                    reader.feed(chunk)
                } catch (e: IOException) {
                    return StreamEnd.Failed(e.message ?: "an event is too large")
                }
            for (event in events) {
                handleEvent(event.data)?.let { return it }
            }
        }
    }

    /** Handles one event; returns how the stream ended, or null when more events follow. */
    private suspend fun handleEvent(data: String): StreamEnd? =
        when (val event = ChatEvent.parse(data)) {
            is ChatEvent.Delta -> relayDelta(event, data)
            is ChatEvent.Usage -> {
                meter.accept(event)
                null
            }
            is ChatEvent.Failure -> StreamEnd.Failed(event.message)
            ChatEvent.Done -> StreamEnd.Done
            ChatEvent.Malformed -> StreamEnd.Failed("the engine sent an event that is not of a chat stream")
        }

    private suspend fun relayDelta(
        event: ChatEvent.Delta,
        data: String,
    ): StreamEnd? {
        if (!meter.accept(event)) return StreamEnd.Truncated
        if (event.content.isNotEmpty()) recordToken()
        writer.writeDelta(event, data)
        return null
    }

    private fun recordToken() {
        val now = TimeSource.Monotonic.markNow()
        if (firstTokenAt == null) {
            firstTokenAt = now
            firstToken = Duration.ofNanos(call.arrivedAt.elapsedNow().inWholeNanoseconds)
        }
        lastTokenAt = now
    }

    private suspend fun resume(): UpstreamResponse? {
        while (resumeCount < MAX_RESUMES && !call.deadline.hasPassedNow()) {
            resumeCount++
            engineClient.resume(call, result.attempt, meter.eventCount)?.let { return it }
        }
        return null
    }

    private suspend fun finish(
        settle: suspend () -> Long,
        isTruncated: Boolean,
    ): CallEnd {
        val chargedTokens = settle()
        writer.complete(meter, isTruncated)
        return CallEnd.Answered(OK, firstToken, betweenTokens, chargedTokens)
    }

    private suspend fun fail(
        settle: suspend () -> Long,
        reason: String,
    ): CallEnd {
        engineClient.cancel(call, result.attempt, meter)
        settle()
        writer.fail(result.attempt.endpoint, reason)
        return CallEnd.Broken(reason)
    }

    private sealed interface StreamEnd {
        data object Done : StreamEnd

        data object Truncated : StreamEnd

        data class Failed(
            val reason: String,
        ) : StreamEnd

        data class Broken(
            val reason: String,
        ) : StreamEnd
    }

    private companion object {
        const val OK = 200
        const val MAX_RESUMES = 3
    }
}
