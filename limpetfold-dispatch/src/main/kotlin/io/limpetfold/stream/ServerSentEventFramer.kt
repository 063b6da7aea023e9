package io.limpetfold.stream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.ByteArrayOutputStream

/**
 * Splits a `text/event-stream` into its events and keeps their bytes unchanged. Not safe for concurrent use.
 *
 * After a stream that ends inside an event, [incompleteEventBytes] is above zero; those bytes must not be forwarded
 * when the stream is resumed at another endpoint.
 */
class ServerSentEventFramer(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) {
    private val event = ByteArrayOutputStream()
    private val line = StringBuilder()
    private var id: String? = null
    private var isLineEmpty = true

    /** Number of buffered bytes of an event that has not ended yet. */
    val incompleteEventBytes: Int get() = event.size()

    /** Returns the events that [chunk] completes, or an error when an event exceeds `maxEventBytes`. */
    fun feed(chunk: ByteArray): Result<List<ServerSentEventFrame>, EventTooLarge> {
        val frames = mutableListOf<ServerSentEventFrame>()
        for (byte in chunk) {
            if (event.size() >= maxEventBytes) return Err(EventTooLarge(maxEventBytes))
            event.write(byte.toInt())
            when (byte) {
                CARRIAGE_RETURN -> Unit
                LINE_FEED -> endLine()?.let(frames::add)
                else -> {
                    isLineEmpty = false
                    if (line.length < MAX_FIELD_CHARS) line.append((byte.toInt() and BYTE_MASK).toChar())
                }
            }
        }
        return Ok(frames)
    }

    private fun endLine(): ServerSentEventFrame? {
        if (line.startsWith(ID_FIELD)) id = line.substring(ID_FIELD.length).trim()
        line.setLength(0)
        val isBlank = isLineEmpty
        isLineEmpty = true
        if (!isBlank) return null
        val frame = ServerSentEventFrame(event.toByteArray(), id)
        event.reset()
        id = null
        return frame
    }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 1024 * 1024
        const val MAX_FIELD_CHARS = 128
        const val ID_FIELD = "id:"
        const val BYTE_MASK = 0xff
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
