package io.limpetfold.http

import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * Parses a `text/event-stream` from pieces that may be split at any byte. Not safe for concurrent use.
 *
 * @property maxEventBytes maximum size of an event; a larger one makes [feed] throw an [IOException].
 */
class ServerSentEventReader(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private val data = mutableListOf<String>()
    private var event: String? = null
    private var id: String? = null
    private var eventBytes = 0
    private var isAfterCarriageReturn = false

    /** Whether bytes of an incomplete event are buffered; at the end of the stream such an event is lost. */
    val isInsideEvent: Boolean get() = eventBytes > 0

    /** Returns the events that [piece] completes. */
    fun feed(piece: ByteArray): List<ServerSentEvent> {
        val events = mutableListOf<ServerSentEvent>()
        for (byte in piece) {
            val isSecondOfPair = isAfterCarriageReturn && byte == LINE_FEED
            isAfterCarriageReturn = byte == CARRIAGE_RETURN
            if (isSecondOfPair) continue
            if (byte == LINE_FEED || byte == CARRIAGE_RETURN) {
                endLine()?.let(events::add)
            } else {
                if (++eventBytes > maxEventBytes) {
                    throw IOException("an event exceeds $maxEventBytes bytes: send smaller events")
                }
                line.write(byte.toInt())
            }
        }
        return events
    }

    private fun endLine(): ServerSentEvent? {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isNotEmpty()) {
            val value = text.substringAfter(':', "").removePrefix(" ")
            when (text.substringBefore(':')) {
                "data" -> data += value
                "event" -> event = value
                "id" -> id = value
            }
            return null
        }
        val complete = if (data.isEmpty()) null else ServerSentEvent(data.joinToString("\n"), event, id)
        data.clear()
        event = null
        id = null
        eventBytes = 0
        return complete
    }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 256 * 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
