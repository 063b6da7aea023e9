package io.limpetfold.http

import java.io.ByteArrayOutputStream

/** How other HTTP programs may read the path of a request; the path itself is never rewritten. */
internal object RequestPath {
    private const val HEX_RADIX = 16
    private const val ENCODED_LENGTH = 3
    private const val DELETE = 0x7f
    private val ENCODED_SEMICOLON = Regex("%3b", RegexOption.IGNORE_CASE)

    /** Returns why other programs may read [path] as another path, or null. */
    fun problem(path: String): String? {
        if (path.none { it == '%' || it == '\\' || it == '.' }) return null
        return encodingProblem(path) ?: "it has a dot segment".takeIf { path.split('/').any(::isDotSegment) }
    }

    /**
     * Returns the path that the most lenient program takes [path] for: decoded, without parameters of segments, and
     * without empty segments.
     */
    fun lenientReading(path: String): String {
        if (path.none { it == '%' || it == ';' } && "//" !in path) return path
        val segments = path.split('/').map { decode(it.substringBefore(';')) }
        val inner = segments.drop(1).dropLast(1).filter { it.isNotEmpty() }
        return (listOf(segments.first()) + inner + segments.drop(1).takeLast(1)).joinToString("/")
    }

    private fun encodingProblem(path: String): String? {
        for ((index, char) in path.withIndex()) {
            if (char == '\\') return "it has a backslash"
            if (char != '%') continue
            val code = encodedAt(path, index) ?: return "it has a '%' without two hexadecimal digits"
            when {
                code < ' '.code || code == DELETE -> return "it has an encoded control character"
                code == '/'.code -> return "it has an encoded slash"
                code == '\\'.code -> return "it has an encoded backslash"
            }
        }
        return null
    }

    /** Whether [segment] is a dot segment, also with parameters, which some programs drop first. */
    private fun isDotSegment(segment: String): Boolean {
        if (segment.none { it == '.' || it == '%' }) return false
        val name = segment.replace(ENCODED_SEMICOLON, ";").substringBefore(';')
        return decode(name).let { it == "." || it == ".." }
    }

    private fun decode(text: String): String {
        if ('%' !in text) return text
        val bytes = ByteArrayOutputStream(text.length)
        var index = 0
        while (index < text.length) {
            val code = if (text[index] == '%') encodedAt(text, index) else null
            bytes.write(code ?: text[index].code)
            index += if (code == null) 1 else ENCODED_LENGTH
        }
        return bytes.toString(Charsets.UTF_8)
    }

    /** Returns the byte that is encoded at [index] of [text], or null. */
    private fun encodedAt(
        text: String,
        index: Int,
    ): Int? {
        if (index + ENCODED_LENGTH > text.length) return null
        val high = Character.digit(text[index + 1], HEX_RADIX)
        val low = Character.digit(text[index + 2], HEX_RADIX)
        return if (high < 0 || low < 0) null else high * HEX_RADIX + low
    }
}
