package io.limpetfold.standins

import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import java.io.ByteArrayOutputStream
import java.util.TreeMap
import kotlin.random.Random

/**
 * A booking application whose `POST /bookings` must not take effect twice.
 *
 * It does not deduplicate calls, so that its counts show each call that ran twice.
 */
class PlainServiceStandin(
    initial: PlainServiceSettings = PlainServiceSettings(),
) : HttpHandler {
    private enum class Outcome { SUCCEED, FAIL_BEFORE, REFUSE, FAIL_AFTER, LOSE_AFTER }

    private val random = Random(initial.seed)
    private val bookings = LinkedHashMap<String, String>()
    private val byKey = TreeMap<String, Int>()
    private val byRequest = TreeMap<String, Int>()

    /** The active settings. */
    @Volatile
    var settings: PlainServiceSettings = initial

    /** Whether bookings are refused as not started and responses have the `X-Draining` header. */
    @Volatile
    var isDraining = false

    /** The bookings that took effect so far. */
    fun effects(): Effects = synchronized(bookings) { Effects(bookings.size, byKey.toMap(), byRequest.toMap()) }

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.head.path
        val call = "${exchange.head.method} $path"
        when {
            call == "POST /bookings" -> book(exchange)
            call == "GET /bookings" -> {
                val all =
                    synchronized(bookings) {
                        bookings.entries.joinToString(",", "[", "]") { """{"id":"${it.key}","booking":${it.value}}""" }
                    }
                exchange.respond(200, jsonHeaders(exchange), all.encodeToByteArray())
            }
            call.startsWith("GET /bookings/") -> {
                val found = synchronized(bookings) { bookings[path.removePrefix("/bookings/")] }
                if (found == null) {
                    exchange.fail(404, "not_found", "no such booking", "yes", commonHeaders(exchange))
                } else {
                    exchange.respond(200, jsonHeaders(exchange), found.encodeToByteArray())
                }
            }
            call == "GET /healthz" -> exchange.respondHealth(isDraining)
            call == "GET /admin/effects" -> exchange.respondJson(Effects.serializer(), effects())
            call == "POST /admin/drain" -> {
                isDraining = exchange.head.query("on") != "false"
                exchange.respondJson(Effects.serializer(), effects())
            }
            call == "POST /admin/settings" -> changeSettings(exchange)
            else -> exchange.fail(404, "not_found", "no such path", "no", commonHeaders(exchange))
        }
    }

    private suspend fun book(exchange: HttpExchange) {
        if (isDraining) {
            return exchange.fail(
                503,
                "draining",
                "the service is draining",
                "no",
                notStartedHeaders(exchange),
            )
        }
        val outcome = drawOutcome()
        if (outcome == Outcome.REFUSE) {
            return exchange.fail(503, "busy", "the service is busy", "no", notStartedHeaders(exchange))
        }
        val body = readSlowly(exchange)
        delay(settings.delayMillis)
        if (outcome == Outcome.FAIL_BEFORE) {
            return exchange.fail(500, "failed", "the booking failed", "no", commonHeaders(exchange))
        }
        val id =
            synchronized(bookings) {
                exchange.head.headers["Idempotency-Key"]?.let { byKey.merge(it, 1, Int::plus) }
                exchange.head.headers["X-Request-Id"]?.let { byRequest.merge(it, 1, Int::plus) }
                "b${bookings.size + 1}".also { bookings[it] = body.ifBlank { "null" } }
            }
        when (outcome) {
            Outcome.FAIL_AFTER ->
                exchange.fail(
                    500,
                    "failed",
                    "the booking failed after its effect",
                    "yes",
                    commonHeaders(exchange),
                )
            Outcome.LOSE_AFTER -> exchange.respondStream(200, Headers.of("Content-Length" to "1")).abort()
            else -> exchange.respond(201, jsonHeaders(exchange), """{"id":"$id"}""".encodeToByteArray())
        }
    }

    private suspend fun readSlowly(exchange: HttpExchange): String {
        val body = ByteArrayOutputStream()
        while (true) {
            val chunk = exchange.body.next() ?: return body.toString(Charsets.UTF_8)
            body.write(chunk)
            val bytesPerSecond = settings.readBytesPerSecond
            if (bytesPerSecond > 0) delay(chunk.size * MILLIS_PER_SECOND / bytesPerSecond)
        }
    }

    private suspend fun changeSettings(exchange: HttpExchange) {
        try {
            settings =
                JSON.decodeFromString(
                    PlainServiceSettings.serializer(),
                    exchange.readBody(MAX_SETTINGS_BYTES).decodeToString(),
                )
            exchange.respondJson(Effects.serializer(), effects())
        } catch (e: IllegalArgumentException) {
            exchange.fail(400, "invalid_request", e.message.orEmpty(), "no")
        }
    }

    private fun drawOutcome(): Outcome {
        var left = synchronized(random) { random.nextDouble() }
        val shares =
            listOf(
                Outcome.FAIL_BEFORE to settings.failBeforeShare,
                Outcome.REFUSE to settings.refuseShare,
                Outcome.FAIL_AFTER to settings.failAfterShare,
                Outcome.LOSE_AFTER to settings.loseAfterShare,
            )
        for ((outcome, share) in shares) {
            left -= share
            if (left < 0) return outcome
        }
        return Outcome.SUCCEED
    }

    private fun jsonHeaders(exchange: HttpExchange) = Headers.of(JSON_HEADERS.entries + commonHeaders(exchange).entries)

    private fun notStartedHeaders(exchange: HttpExchange) =
        commonHeaders(exchange).with("X-Limpetfold-Not-Started", "true")

    private fun commonHeaders(exchange: HttpExchange): Headers {
        val echo =
            exchange.head.headers["X-Request-Id"]
                .takeIf { settings.echoesRequestId }
                ?.let {
                    listOf(
                        "X-Request-Id" to it,
                    )
                }.orEmpty()
        val version = listOf("X-Limpetfold-Version" to settings.version)
        return Headers.of(
            echo + version + if (isDraining) listOf("Connection" to "close", "X-Draining" to "true") else emptyList(),
        )
    }

    /** The bookings that took effect, as `GET /admin/effects` returns them. */
    @Serializable
    data class Effects(
        val total: Int,
        val byKey: Map<String, Int>,
        val byRequest: Map<String, Int>,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
        const val MAX_SETTINGS_BYTES = 100_000
    }
}
