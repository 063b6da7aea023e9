package io.limpetfold.testing.fuzz

/** The text form of a packet: one line of ASCII, in which `\r`, `\n`, `\\` and `\xHH` stand for other bytes. */
object FuzzText {
    private val ESCAPE = Regex("""\\(x[0-9a-f]{2}|.)""")
    private const val BYTE_MASK = 0xff
    private const val HEX = 16

    fun escape(bytes: ByteArray): String =
        bytes.joinToString("") {
            when (val char = (it.toInt() and BYTE_MASK).toChar()) {
                '\r' -> "\\r"
                '\n' -> "\\n"
                '\\' -> "\\\\"
                in ' '..'~' -> char.toString()
                else -> "\\x%02x".format(char.code)
            }
        }

    fun unescape(line: String): ByteArray =
        ESCAPE
            .replace(line) { match ->
                val escaped = match.groupValues[1]
                when {
                    escaped == "r" -> "\r"
                    escaped == "n" -> "\n"
                    escaped.length > 1 -> Char(escaped.drop(1).toInt(HEX)).toString()
                    else -> escaped
                }
            }.toByteArray(Charsets.ISO_8859_1)
}
