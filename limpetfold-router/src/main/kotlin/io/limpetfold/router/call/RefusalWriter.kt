package io.limpetfold.router.call

import io.limpetfold.core.RequestId
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.request.Refusal
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Writes refusals as JSON with a machine-readable type. */
internal object RefusalWriter {
    private const val MILLIS_PER_SECOND = 1000L

    /** Writes [refusal] as the response to [call]. */
    suspend fun refuse(
        call: Call,
        refusal: Refusal,
    ): CallEnd {
        write(call.exchange, refusal, call.request)
        return CallEnd.Refused(refusal)
    }

    suspend fun write(
        exchange: HttpExchange,
        refusal: Refusal,
        request: RequestId?,
    ) {
        var headers = Headers.of("Content-Type" to "application/json")
        if (request != null) headers = headers.with("X-Request-Id", request.value)
        // Retry-After has whole seconds; rounded up, so that a caller does not retry too early.
        refusal.retryAfter?.let { headers = headers.with("Retry-After", wholeSeconds(it.toMillis()).toString()) }
        if (refusal is Refusal.Draining) headers = headers.with("Connection", "close")
        if (refusal is Refusal.Unauthenticated) headers = headers.with("WWW-Authenticate", "Bearer")
        exchange.respond(refusal.status, headers, body(refusal, request))
    }

    private fun wholeSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

    private fun body(
        refusal: Refusal,
        request: RequestId?,
    ): ByteArray {
        val error =
            buildJsonObject {
                put("type", refusal.type)
                put("message", refusal.message)
                put("remedy", refusal.remedy)
                put("ran", refusal.ran.wireName)
                put("requestId", request?.value)
            }
        return buildJsonObject { put("error", error) }.toString().encodeToByteArray()
    }
}
