package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.http.ResponseSink
import io.limpetfold.http.ServerSentEvent
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.ChatResponse
import io.limpetfold.router.chat.TokenMeter

/** Writes a response as server-sent events. */
internal class StreamingResponseWriter(
    private val call: Call,
) : ResponseWriter {
    private var sink: ResponseSink? = null

    /**
     * All events of a response have the same identity. The engine's events are relayed unchanged, so its identity is
     * used once it is known.
     */
    private var id = call.request.value

    override val hasStarted: Boolean get() = sink != null

    override suspend fun writeDelta(
        delta: ChatEvent.Delta,
        data: String,
    ) {
        if (delta.id != null) id = delta.id
        write(data)
    }

    override suspend fun complete(
        meter: TokenMeter,
        isTruncated: Boolean,
    ) {
        if (isTruncated) write(ChatResponse.truncationEvent(id))
        write(ChatResponse.usageEvent(id, meter))
        write(END_MARK)
        open().finish()
    }

    override suspend fun fail(
        endpoint: EndpointId,
        reason: String,
    ) {
        write(ChatResponse.errorEvent("stream_broken", reason, call.request.value))
        open().finish()
    }

    private suspend fun write(data: String) = open().write(ServerSentEvent(data).encode())

    private suspend fun open(): ResponseSink =
        sink
            ?: call.exchange
                .respondStream(OK, ServerSentEvent.HEADERS.with("X-Request-Id", call.request.value))
                .also { sink = it }

    private companion object {
        const val OK = 200
        const val END_MARK = "[DONE]"
    }
}
