package io.limpetfold.standins

import io.limpetfold.http.ErrorBody
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

internal val JSON =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = false
    }

internal val JSON_HEADERS = Headers.of("Content-Type" to "application/json")

internal suspend fun <T> HttpExchange.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: Int = 200,
) = respond(status, JSON_HEADERS, JSON.encodeToString(serializer, value).encodeToByteArray())

/** Responds with an error; [ran] says whether the call ran: `no`, `yes` or `unknown`. */
internal suspend fun HttpExchange.fail(
    status: Int,
    type: String,
    message: String,
    ran: String,
    extra: Headers = Headers.EMPTY,
) = respond(
    status,
    Headers.of(JSON_HEADERS.entries + extra.entries),
    ErrorBody.encode(type, message, "see docs/design.md, 4.3", ran, head.headers["X-Request-Id"]),
)

/** Responds to a health check: 200, or 503 with the `X-Draining` header. */
internal suspend fun HttpExchange.respondHealth(isDraining: Boolean) =
    if (isDraining) {
        fail(
            503,
            "draining",
            "the endpoint is draining",
            "no",
            Headers.of("X-Draining" to "true"),
        )
    } else {
        respond(200)
    }
