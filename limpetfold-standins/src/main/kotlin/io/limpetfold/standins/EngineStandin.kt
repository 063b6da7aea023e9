package io.limpetfold.standins

import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.ServerSentEvent
import io.limpetfold.http.cancelOnDisconnect
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.UUID
import kotlin.math.ceil

/** A model engine with a continuous batch; its settings or `POST /admin/settings` can make its version faulty. */
class EngineStandin(
    settings: EngineStandinSettings = EngineStandinSettings(),
) : HttpHandler,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val core = EngineCore(settings, scope)

    /** The active settings. */
    var settings: EngineStandinSettings
        get() = core.settings
        set(value) {
            core.settings = value
        }

    /** Whether new requests are refused as not started and responses have the `X-Draining` header. */
    @Volatile
    var isDraining = false

    /** The counts since the start. */
    fun stats(): EngineStats = core.stats().copy(requests = core.requestCounts())

    override fun close() = scope.cancel()

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.head.path
        val method = exchange.head.method
        when {
            method == "POST" && path.endsWith("/v1/chat/completions") -> complete(exchange)
            path.startsWith(STREAMS) -> stream(exchange, method, path.removePrefix(STREAMS))
            method == "GET" && path == "/v1/load" -> load(exchange)
            method == "GET" && path == "/healthz" -> exchange.respondHealth(isDraining)
            method == "POST" && path == "/v1/orders" -> order(exchange)
            path.startsWith("/admin/") -> admin(exchange, "$method $path")
            else -> exchange.fail(404, "not_found", "no such path", "no")
        }
    }

    private suspend fun complete(exchange: HttpExchange) {
        val body = exchange.readBody(MAX_BODY_BYTES).decodeToString()
        val request =
            try {
                LENIENT.decodeFromString(ChatRequest.serializer(), body)
            } catch (e: IllegalArgumentException) {
                return exchange.fail(400, "invalid_request", e.message.orEmpty(), "no", NOT_STARTED)
            }
        val requestId = exchange.head.headers["X-Request-Id"] ?: UUID.randomUUID().toString()
        if (isDraining) {
            return exchange.fail(
                503,
                "draining",
                "the engine is draining",
                "no",
                Headers.of(
                    commonHeaders(requestId).entries + NOT_STARTED.entries,
                ),
            )
        }
        val promptBytes = request.messages.sumOf { it.content.encodeToByteArray().size }
        val promptTokens = ceil(promptBytes / settings.bytesPerToken).toInt()
        val priority = exchange.head.headers["X-Priority"]?.toIntOrNull() ?: request.priority
        val stream = EngineStream(requestId, promptTokens, request.maxTokens ?: settings.defaultTokens, priority)
        stream.isFaulty = core.isFaulty(exchange.head.headers["X-Limpetfold-Route"].orEmpty(), exchange.head.path)
        core.start(stream)
            ?: return exchange.fail(
                503,
                "overloaded",
                "too many requests",
                "no",
                Headers.of(
                    commonHeaders(requestId).entries + NOT_STARTED.entries,
                ),
            )
        if (request.stream) sendEvents(exchange, stream, 0) else sendCompletion(exchange, stream)
    }

    private suspend fun sendCompletion(
        exchange: HttpExchange,
        stream: EngineStream,
    ) {
        stream.withReader { exchange.cancelOnDisconnect { stream.awaitEnd() } }
        if (stream.state == EngineStream.State.FINISHED) {
            exchange.respond(
                200,
                Headers.of(JSON_HEADERS.entries + commonHeaders(stream.requestId).entries),
                EngineJson.completion(stream).encodeToByteArray(),
            )
        } else {
            exchange.fail(500, "failed", "the request failed", "yes", commonHeaders(stream.requestId))
        }
    }

    private suspend fun sendEvents(
        exchange: HttpExchange,
        stream: EngineStream,
        after: Int,
    ) = stream.withReader {
        exchange.cancelOnDisconnect {
            var index = after
            var event = stream.event(index)
            if (event == null && stream.state == EngineStream.State.FAILED) {
                exchange.fail(500, "failed", "the request failed", "yes", commonHeaders(stream.requestId))
            } else {
                val sink =
                    exchange.respondStream(
                        200,
                        Headers.of(
                            ServerSentEvent.HEADERS.entries + commonHeaders(stream.requestId).entries,
                        ),
                    )
                while (event != null) {
                    sink.write(ServerSentEvent(event, id = "${++index}").encode())
                    event = stream.event(index)
                }
                if (stream.state == EngineStream.State.FAILED) sink.abort() else sink.finish()
            }
        }
    }

    private suspend fun stream(
        exchange: HttpExchange,
        method: String,
        requestId: String,
    ) {
        val stream = core.find(requestId) ?: return exchange.fail(404, "not_found", "no such stream", "unknown")
        when (method) {
            "GET" -> {
                if (stream.state == EngineStream.State.CANCELLED) {
                    return exchange.fail(410, "cancelled", "the stream was cancelled", "yes")
                }
                core.countResumed()
                sendEvents(exchange, stream, exchange.head.query("after")?.toIntOrNull() ?: 0)
            }
            "DELETE" -> {
                core.cancel(stream)
                exchange.respond(
                    200,
                    Headers.of(JSON_HEADERS.entries + commonHeaders(requestId).entries),
                    EngineJson.state(stream).encodeToByteArray(),
                )
            }
            else -> exchange.fail(405, "method_not_allowed", "use GET or DELETE", "no")
        }
    }

    private suspend fun load(exchange: HttpExchange) {
        val (running, waiting) = core.laggedLoad()
        exchange.respondJson(
            LoadReport.serializer(),
            LoadReport(running, waiting, settings.capacity, settings.loadLagMillis, isDraining),
        )
    }

    private suspend fun order(exchange: HttpExchange) {
        val order = decode(exchange) { JSON.decodeFromString(EngineOrder.serializer(), it) } ?: return
        val newerFencing = core.order(order)
        if (newerFencing == null) {
            exchange.respondJson(EngineOrder.serializer(), order)
        } else {
            exchange.fail(409, "fenced", "fencing number ${order.fencing} is older than $newerFencing", "no")
        }
    }

    private suspend fun admin(
        exchange: HttpExchange,
        call: String,
    ) {
        when (call) {
            "GET /admin/stats" -> Unit
            "POST /admin/settings" ->
                settings = decode(exchange) { JSON.decodeFromString(EngineStandinSettings.serializer(), it) } ?: return
            "POST /admin/drain" -> isDraining = exchange.head.query("on") != "false"
            else -> return exchange.fail(404, "not_found", "no such path", "no")
        }
        exchange.respondJson(EngineStats.serializer(), stats())
    }

    private suspend fun <T : Any> decode(
        exchange: HttpExchange,
        decoder: (String) -> T,
    ): T? =
        try {
            decoder(exchange.readBody(MAX_BODY_BYTES).decodeToString())
        } catch (e: IllegalArgumentException) {
            exchange.fail(400, "invalid_request", e.message.orEmpty(), "no")
            null
        }

    private fun commonHeaders(requestId: String): Headers {
        val echo = if (settings.echoesRequestId) listOf("X-Request-Id" to requestId) else emptyList()
        val version = listOf("X-Limpetfold-Version" to settings.version)
        return Headers.of(
            echo + version + if (isDraining) listOf("Connection" to "close", "X-Draining" to "true") else emptyList(),
        )
    }

    @Serializable
    private data class LoadReport(
        val running: Int,
        val waiting: Int,
        val capacity: Int,
        val lagMillis: Long,
        val draining: Boolean,
    )

    private companion object {
        const val STREAMS = "/v1/streams/"
        const val MAX_BODY_BYTES = 8 * 1024 * 1024
        val NOT_STARTED = Headers.of("X-Limpetfold-Not-Started" to "true")
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
