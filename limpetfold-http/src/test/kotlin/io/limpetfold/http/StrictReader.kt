package io.limpetfold.http

/**
 * Reads messages as RFC 9112 states them, without any of the tolerance that it allows to recipients. A message that the
 * product accepts must be valid here, and equal.
 */
internal class StrictReader(
    private val text: String,
) {
    private var at = 0

    /** What stands at a position of the stream. */
    sealed interface Reading {
        /** The message, without its body if that is not valid; null if not even its head is. */
        val head: Message?
    }

    data class Message(
        val startLine: List<String>,
        val fields: List<Pair<String, String>>,
        val body: String,
        val end: Int,
    ) : Reading {
        override val head get() = this

        fun all(name: String) = fields.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }
    }

    /** The head is valid or not yet complete, and the stream ends before the message. */
    data class Incomplete(
        override val head: Message?,
    ) : Reading

    data class Malformed(
        val reason: String,
        override val head: Message?,
    ) : Reading

    private class Fault(
        message: String,
    ) : Exception(message)

    private class End : Exception()

    private fun fault(reason: String): Nothing = throw Fault(reason)

    val isAtEnd: Boolean get() = at == text.length

    /** Reads all requests of the stream, up to the first that is malformed or incomplete. */
    fun requests(): List<Reading> {
        val readings = mutableListOf<Reading>()
        while (!isAtEnd && readings.all { it is Message }) readings += next(REQUEST_LINE) { true }
        return readings
    }

    /** Reads the first final response of the stream; interim ones are passed over. */
    fun response(isHead: Boolean): Reading {
        while (true) {
            val reading = next(STATUS_LINE) { status -> !isHead && status >= 200 && status != 204 && status != 304 }
            if (reading !is Message || reading.startLine[1].toInt() >= 200) return reading
        }
    }

    private fun next(
        startLine: Regex,
        hasBody: (Int) -> Boolean,
    ): Reading {
        var head: Message? = null
        return try {
            skipBlanks()
            val start = startLine.matchEntire(line())?.groupValues?.drop(1) ?: fault("start line")
            val fields = fields()
            head = Message(start, fields, "", at)
            val isResponse = startLine === STATUS_LINE
            if (!hasBody(if (isResponse) start[1].toInt() else 0)) return head
            head.copy(body = body(head, isResponse), end = at)
        } catch (e: Fault) {
            Malformed(e.message.orEmpty(), head)
        } catch (_: End) {
            Incomplete(head)
        }
    }

    /** The decoder passes over control characters and spaces before a start line, where RFC 9112 (2.2) names empty lines. */
    private fun skipBlanks() {
        while (!isAtEnd && (text[at] == ' ' || text[at].isISOControl())) at++
        if (isAtEnd) throw End()
    }

    private fun fields(): List<Pair<String, String>> {
        val fields = mutableListOf<Pair<String, String>>()
        while (true) {
            val line = line()
            if (line.isEmpty()) return fields
            val (name, value) = FIELD.matchEntire(line)?.destructured ?: fault("field line")
            fields += name to value.trim(' ', '\t')
        }
    }

    private fun body(
        head: Message,
        isResponse: Boolean,
    ): String {
        val encodings = head.all("Transfer-Encoding")
        val lengths = head.all("Content-Length")
        val isVersion11 = if (isResponse) head.startLine[0] == "1.1" else head.startLine[2] == "1.1"
        if (encodings.isNotEmpty()) {
            val isChunked = encodings.size == 1 && encodings[0].equals("chunked", ignoreCase = true)
            if (!isChunked || !isVersion11 || lengths.isNotEmpty()) fault("transfer encoding")
            return chunks()
        }
        if (lengths.isEmpty()) return if (isResponse) fault("no length") else ""
        val length = lengths.singleOrNull()?.takeIf { it.matches(DIGITS) } ?: fault("length")
        return consume(length.toBigInteger().min(Int.MAX_VALUE.toBigInteger()).toInt())
    }

    private fun chunks(): String =
        buildString {
            while (true) {
                val size = CHUNK.matchEntire(line())?.groupValues?.get(1) ?: fault("chunk size")
                val length = size.toBigInteger(16).min(Int.MAX_VALUE.toBigInteger()).toInt()
                if (length == 0) break
                append(consume(length))
                if (consume(2) != "\r\n") fault("chunk end")
            }
            fields()
        }

    private fun line(): String {
        val feed = text.indexOf('\n', at)
        if (feed < 0) throw End()
        val line = text.substring(at, feed)
        if (!line.endsWith('\r')) fault("line end")
        at = feed + 1
        return line.dropLast(1)
    }

    private fun consume(length: Int): String {
        if (length > text.length - at) throw End()
        return text.substring(at, at + length).also { at += length }
    }

    private companion object {
        const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
        const val VALUE = "[\\t\\x20-\\x7e\\x80-\\xff]*"

        /** Words may be further apart, as RFC 9112 (3) leaves to recipients and the decoder does. */
        const val GAP = "[ \\t\\x0b\\x0c\\r]"
        val REQUEST_LINE = Regex("($TOKEN)$GAP+([\\x21-\\x7e]+)$GAP+HTTP/(1\\.[01])$GAP*")

        /** The reason is not used, so control characters in it are tolerated. */
        val STATUS_LINE = Regex("HTTP/(1\\.[0-9])$GAP+([1-5][0-9]{2})(?:$GAP+(.*))?", RegexOption.DOT_MATCHES_ALL)
        val FIELD = Regex("($TOKEN):($VALUE)")
        val CHUNK = Regex("([0-9A-Fa-f]+)(?:[ \\t]*;$VALUE)?")
        val DIGITS = Regex("[0-9]+")
    }
}
