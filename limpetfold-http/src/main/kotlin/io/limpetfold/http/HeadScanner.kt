package io.limpetfold.http

import io.netty.buffer.ByteBuf

/**
 * Scans request heads before they are decoded: counts the bytes of their header fields, and detects fields that continue
 * on the next line (obsolete line folding, RFC 9112).
 *
 * Netty's decoder joins folded lines, while other HTTP parsers may read them as separate fields, which allows request
 * smuggling.
 */
internal class HeadScanner {
    private var lineBytes = 0
    private var lines = 0
    private var isHeadComplete = false

    /** The size of the header field lines scanned so far, line ends included; the request line does not count. */
    var fieldBytes = 0L
        private set

    /** Whether the head scanned so far has a folded field. */
    var isFolded = false
        private set

    /** Prepares for the head of the next request. */
    fun reset() {
        lineBytes = 0
        lines = 0
        isHeadComplete = false
        isFolded = false
        fieldBytes = 0
    }

    /** Scans the next bytes received on the connection without consuming them. */
    fun scan(bytes: ByteBuf) {
        var index = bytes.readerIndex()
        while (!isHeadComplete && index < bytes.writerIndex()) {
            val byte = bytes.getByte(index++)
            if (lines > 0) fieldBytes++
            when {
                byte == LINE_FEED -> {
                    if (lines > 0 && lineBytes == 0) isHeadComplete = true
                    if (lineBytes > 0) lines++
                    lineBytes = 0
                }
                byte != CARRIAGE_RETURN -> {
                    val isBlank = byte == SPACE || byte == TAB
                    if (isBlank && lines > 0 && lineBytes == 0) isFolded = true
                    lineBytes++
                }
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
    }
}
