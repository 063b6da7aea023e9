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

/** Sends streamed chat completions and records their latencies in microseconds. */
internal class StreamedCall(
    private val client: UpstreamClient,
    private val address: HostPort,
    tokens: Int,
) {
    private val body =
        """{"model":"m","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"Draft a visit plan for Trubarjeva 12."}]}"""
            .encodeToByteArray()

    /** Time from the request to the first event. */
    val firstToken = Recorder(MAX_MICROS, DIGITS)
    val betweenTokens = Recorder(MAX_MICROS, DIGITS)
    val completion = Recorder(MAX_MICROS, DIGITS)

    /** The outcome of a call for the caller: [BROKEN] if the connection failed or the stream was truncated. */
    enum class Outcome { COMPLETE, REFUSED, BROKEN }

    suspend fun send(): Outcome {
        val start = TimeSource.Monotonic.markNow()
        val request = UpstreamRequest("POST", "/v1/chat/completions", HEADERS, UpstreamBody.Bytes(body))
        val response = client.send(address, request).get() ?: return Outcome.BROKEN
        response.use {
            if (it.head.status != OK) return Outcome.REFUSED
            var previous: TimeMark? = null
            val tail = StringBuilder()
            while (true) {
                val chunk = it.next().get() ?: break
                val now = TimeSource.Monotonic.markNow()
                val text = chunk.decodeToString()
                repeat(EVENT.findAll(text).count()) {
                    val since = previous
                    if (since == null) firstToken.record(start) else betweenTokens.record(since)
                    previous = now
                }
                tail.append(text.takeLast(TAIL_CHARS))
            }
            completion.record(start)
            return if (tail.endsWith("data: [DONE]\n\n")) Outcome.COMPLETE else Outcome.BROKEN
        }
    }

    private fun Recorder.record(since: TimeMark) =
        recordValue(since.elapsedNow().inWholeMicroseconds.coerceIn(1, MAX_MICROS))

    private companion object {
        const val OK = 200
        const val DIGITS = 3
        const val TAIL_CHARS = 40
        const val MAX_MICROS = 120_000_000L
        val EVENT = Regex("(?m)^data: ?\\{")
        val HEADERS = Headers.of("Authorization" to "Bearer ${RouterFleet.KEY}", "Content-Type" to "application/json")
    }
}
