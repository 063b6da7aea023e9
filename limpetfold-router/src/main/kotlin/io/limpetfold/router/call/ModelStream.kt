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
 * Passes one model stream on, resumes it at its engine when it breaks, and cuts it at the reserved output.
 *
 * An answer ends regularly only after the engine's end mark or at the reserved output; anything else ends in an explicit error.
 */
internal class ModelStream(
    private val call: Call,
    private val result: ForwardResult.Answering,
    private val engines: EngineClient,
    private val meter: TokenMeter,
    private val writer: AnswerWriter,
) {
    private var firstTokenAt: TimeMark? = null
    private var lastTokenAt: TimeMark? = null
    private var resumeCount = 0

    /** Time from the arrival of the call to the first token, or null when none came. */
    var firstToken: Duration? = null
        private set

    /** Mean time between tokens, or null when fewer than two came. */
    val betweenTokens: Duration?
        get() {
            val first = firstTokenAt ?: return null
            val last = lastTokenAt ?: return null
            val gaps = meter.eventCount - 1
            val total = first.elapsedNow() - last.elapsedNow()
            return if (gaps < 1) null else Duration.ofNanos((total / gaps.toInt()).inWholeNanoseconds)
        }

    /**
     * Passes the stream on; [settle] charges the use right before the last part goes out and returns the charged tokens.
     *
     * The stream ends at the deadline of the call, also for a caller that reads slowly: the limits of endpoints rest on a bounded duration.
     */
    suspend fun run(settle: suspend () -> Long): CallEnd =
        when (val end = withTimeoutOrNull(call.remaining().toMillis()) { passAll() }) {
            Segment.Done -> finish(settle, isCut = false)
            Segment.Cut -> {
                engines.cancel(call, result.attempt, meter)
                finish(settle, isCut = true)
            }
            is Segment.Failed -> fail(settle, end.reason)
            is Segment.Broken -> fail(settle, end.reason)
            null -> fail(settle, "the request exceeded the time limit of its route")
        }

    /** Passes the stream on, over all its connections, and returns how it ended. */
    private suspend fun passAll(): Segment {
        var answer = result.answer
        while (true) {
            val segment = answer.use { pass(it) }
            if (segment !is Segment.Broken) return segment
            call.trace.add("stream broken events=${meter.eventCount} cause=\"${segment.reason}\"")
            answer = resume() ?: return segment
        }
    }

    private suspend fun pass(answer: UpstreamResponse): Segment {
        val reader = ServerSentEventReader()
        while (true) {
            val piece = answer.next().getOrElse { return Segment.Broken(it.message) }
            if (piece == null) return Segment.Broken("the engine ended the stream without an end mark")
            val events =
                try {
                    reader.feed(piece)
                } catch (e: IOException) {
                    return Segment.Failed(e.message ?: "an event is too large")
                }
            for (event in events) {
                take(event.data)?.let { return it }
            }
        }
    }

    /** Handles one event; returns how the stream ended, or null while it goes on. */
    private suspend fun take(data: String): Segment? =
        when (val event = ChatEvent.parse(data)) {
            is ChatEvent.Delta -> delta(event, data)
            is ChatEvent.Usage -> {
                meter.accept(event)
                null
            }
            is ChatEvent.Failure -> Segment.Failed(event.message)
            ChatEvent.Done -> Segment.Done
            ChatEvent.Malformed -> Segment.Failed("the engine sent an event that is not of a chat stream")
        }

    private suspend fun delta(
        event: ChatEvent.Delta,
        data: String,
    ): Segment? {
        if (!meter.accept(event)) return Segment.Cut
        if (event.content.isNotEmpty()) noteToken()
        writer.delta(event, data)
        return null
    }

    private fun noteToken() {
        val now = TimeSource.Monotonic.markNow()
        if (firstTokenAt == null) {
            firstTokenAt = now
            firstToken = Duration.ofNanos(call.arrived.elapsedNow().inWholeNanoseconds)
        }
        lastTokenAt = now
    }

    private suspend fun resume(): UpstreamResponse? {
        while (resumeCount < MAX_RESUMES && !call.deadline.hasPassedNow()) {
            resumeCount++
            engines.resume(call, result.attempt, meter.eventCount)?.let { return it }
        }
        return null
    }

    private suspend fun finish(
        settle: suspend () -> Long,
        isCut: Boolean,
    ): CallEnd {
        val chargedTokens = settle()
        writer.end(meter, isCut)
        return CallEnd.Answered(OK, firstToken, betweenTokens, chargedTokens)
    }

    private suspend fun fail(
        settle: suspend () -> Long,
        reason: String,
    ): CallEnd {
        engines.cancel(call, result.attempt, meter)
        settle()
        writer.fail(result.attempt.endpoint, reason)
        return CallEnd.Broken(reason)
    }

    private sealed interface Segment {
        data object Done : Segment

        data object Cut : Segment

        data class Failed(
            val reason: String,
        ) : Segment

        data class Broken(
            val reason: String,
        ) : Segment
    }

    private companion object {
        const val OK = 200
        const val MAX_RESUMES = 3
    }
}
