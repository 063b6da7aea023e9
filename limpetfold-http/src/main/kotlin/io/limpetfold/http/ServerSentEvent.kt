package io.limpetfold.http

/**
 * One event of a `text/event-stream`.
 *
 * @property data the `data` lines of the event, joined by line feeds.
 */
data class ServerSentEvent(
    val data: String,
    val event: String? = null,
    val id: String? = null,
) {
    /** Returns the wire format of the event. */
    fun encode(): ByteArray =
        buildString {
            if (event != null) append("event: ").append(event).append('\n')
            if (id != null) append("id: ").append(id).append('\n')
            data.split('\n').forEach { append("data: ").append(it).append('\n') }
            append('\n')
        }.encodeToByteArray()

    companion object {
        /** The header fields of a response that is an event stream. */
        val HEADERS: Headers = Headers.of("Content-Type" to "text/event-stream", "Cache-Control" to "no-store")
    }
}
