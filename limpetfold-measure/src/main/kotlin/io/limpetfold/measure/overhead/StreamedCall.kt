package io.limpetfold.measure.overhead

import com.github.michaelbull.result.get
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.measure.fleet.RouterFleet
import org.HdrHistogram.Recorder
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Sends streamed chat completions and records when their events arrive. */
internal class StreamedCall(
    private val client: UpstreamClient,
    private val address: HostPort,
    tokens: Int,
) {
    private val body =
        """{"model":"m","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"Draft a visit plan for Trubarjeva 12."}]}"""
            .encodeToByteArray()
    val firstToken = Recorder(MAX_MICROS, DIGITS)
    val betweenTokens = Recorder(MAX_MICROS, DIGITS)
    val whole = Recorder(MAX_MICROS, DIGITS)

    /** How a call ended for the caller. */
    enum class Outcome { WHOLE, REFUSED, BROKEN }

    suspend fun send(): Outcome {
        val start = TimeSource.Monotonic.markNow()
        val request = UpstreamRequest("POST", "/v1/chat/completions", HEADERS, UpstreamBody.Bytes(body))
        val answer = client.send(address, request).get() ?: return Outcome.BROKEN
        answer.use {
            if (it.head.status != OK) return Outcome.REFUSED
            var last: TimeMark? = null
            val tail = StringBuilder()
            while (true) {
                val piece = it.next().get() ?: break
                val now = TimeSource.Monotonic.markNow()
                val text = piece.decodeToString()
                repeat(EVENT.findAll(text).count()) {
                    val before = last
                    if (before == null) firstToken.record(start) else betweenTokens.record(before)
                    last = now
                }
                tail.append(text.takeLast(TAIL_CHARS))
            }
            whole.record(start)
            return if (tail.endsWith("data: [DONE]\n\n")) Outcome.WHOLE else Outcome.BROKEN
        }
    }

    private fun Recorder.record(since: TimeMark) = recordValue(since.elapsedNow().inWholeMicroseconds.coerceIn(1, MAX_MICROS))

    private companion object {
        const val OK = 200
        const val DIGITS = 3
        const val TAIL_CHARS = 40
        const val MAX_MICROS = 120_000_000L
        val EVENT = Regex("(?m)^data: ?\\{")
        val HEADERS = Headers.of("Authorization" to "Bearer ${RouterFleet.KEY}", "Content-Type" to "application/json")
    }
}
