package io.limpetfold.stream

/**
 * One complete event of a `text/event-stream` as it was received.
 *
 * @property bytes the event, including the blank line that ends it.
 * @property id the value of its `id` field, or null.
 */
class ServerSentEventFrame(
    val bytes: ByteArray,
    val id: String?,
)
