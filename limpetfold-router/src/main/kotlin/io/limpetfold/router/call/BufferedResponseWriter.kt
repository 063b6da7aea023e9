package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.http.Headers
import io.limpetfold.request.Refusal
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.ChatResponse
import io.limpetfold.router.chat.TokenMeter

/** Collects a response in memory and writes it as one JSON document; the reserved output limit bounds its size. */
internal class BufferedResponseWriter(
    private val call: Call,
    private val model: String,
) : ResponseWriter {
    private val content = StringBuilder()
    private var finishReason: String? = null

    override val hasStarted: Boolean get() = false

    override suspend fun writeDelta(
        delta: ChatEvent.Delta,
        data: String,
    ) {
        content.append(delta.content)
        delta.finishReason?.let { finishReason = it }
    }

    override suspend fun complete(
        meter: TokenMeter,
        isTruncated: Boolean,
    ) {
        val reason = if (isTruncated) "length" else finishReason ?: if (meter.isExhausted) "length" else "stop"
        val headers = Headers.of("Content-Type" to "application/json", "X-Request-Id" to call.request.value)
        call.exchange.respond(
            OK,
            headers,
            ChatResponse.completion(call.request.value, model, content.toString(), reason, meter),
        )
    }

    /** Nothing was sent yet, so the failure can be reported as a refusal. */
    override suspend fun fail(
        endpoint: EndpointId,
        reason: String,
    ) = RefusalWriter.write(call.exchange, Refusal.UpstreamFailed(endpoint, call.request), call.request)

    private companion object {
        const val OK = 200
    }
}
