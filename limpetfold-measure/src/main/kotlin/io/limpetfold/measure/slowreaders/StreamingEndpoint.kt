package io.limpetfold.measure.slowreaders

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.ServerSentEvent
import io.limpetfold.http.cancelOnDisconnect
import kotlinx.coroutines.delay

/**
 * An engine that generates each event when it is written and buffers none, so that 1,000 long responses need no memory
 * in this process.
 *
 * A prompt that contains [LARGE] gets large events as fast as the connection accepts them, any other prompt gets small
 * events at a fixed rate.
 */
internal class StreamingEndpoint : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        if (!exchange.head.path.endsWith("/v1/chat/completions")) return exchange.respond(NOT_FOUND)
        val body = exchange.readBody(MAX_BODY_BYTES).decodeToString()
        val tokens = checkNotNull(MAX_TOKENS.find(body)) { "no max_tokens" }.groupValues[1].toInt()
        val isLarge = LARGE in body
        exchange.cancelOnDisconnect {
            val sink = exchange.respondStream(OK, ServerSentEvent.HEADERS)
            repeat(tokens) {
                if (!isLarge) delay(PACE_MILLIS)
                sink.write(
                    event(
                        """{"choices":[{"index":0,"delta":{"content":"${if (isLarge) LARGE_TEXT else "t$it "}"}}]}""",
                    ),
                )
            }
            sink.write(
                event(
                    """{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":$tokens,"total_tokens":${tokens + 9}}}""",
                ),
            )
            sink.write(event("[DONE]"))
            sink.finish()
        }
    }

    private fun event(data: String) = ServerSentEvent(data).encode()

    companion object {
        /** Marks a prompt that asks for large events. */
        const val LARGE = "large-events"
        const val EVENT_CHARS = 1_000
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val PACE_MILLIS = 10L
        private const val MAX_BODY_BYTES = 1_000_000
        private val LARGE_TEXT = "a".repeat(EVENT_CHARS)
        private val MAX_TOKENS = Regex(""""max_tokens":(\d+)""")
    }
}
