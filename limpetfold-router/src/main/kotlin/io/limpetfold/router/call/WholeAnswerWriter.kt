package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.http.Headers
import io.limpetfold.request.Refusal
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.ChatResponse
import io.limpetfold.router.chat.TokenMeter

/** Collects an answer and writes it as one JSON document; the output limit bounds what is held. */
internal class WholeAnswerWriter(
    private val call: Call,
    private val model: String,
) : AnswerWriter {
    private val content = StringBuilder()
    private var finishReason: String? = null

    override val hasBegun: Boolean get() = false

    override suspend fun delta(
        delta: ChatEvent.Delta,
        data: String,
    ) {
        content.append(delta.content)
        delta.finishReason?.let { finishReason = it }
    }

    override suspend fun end(
        meter: TokenMeter,
        isCut: Boolean,
    ) {
        val reason = if (isCut) "length" else finishReason ?: if (meter.isExhausted) "length" else "stop"
        val headers = Headers.of("Content-Type" to "application/json", "X-Request-Id" to call.request.value)
        call.exchange.respond(OK, headers, ChatResponse.completion(call.request.value, model, content.toString(), reason, meter))
    }

    /** Nothing was passed on, so that the caller is told in the regular form of an error. */
    override suspend fun fail(
        endpoint: EndpointId,
        reason: String,
    ) = RefusalWriter.write(call.exchange, Refusal.UpstreamFailed(endpoint, call.request), call.request)

    private companion object {
        const val OK = 200
    }
}
