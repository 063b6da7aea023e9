package io.limpetfold.http

import io.netty.buffer.ByteBuf

/**
 * Detects header fields that continue on the next line (obsolete line folding, RFC 9112).
 *
 * Netty's decoder joins such lines, while other HTTP parsers may read them as separate fields, which allows request
 * smuggling.
 */
internal class LineFoldingDetector {
    private var lineBytes = 0
    private var lines = 0
    private var isHeadComplete = false

    /** Whether the head scanned so far has a folded field. */
    var isFolded = false
        private set

    /** Prepares for the head of the next request. */
    fun reset() {
        lineBytes = 0
        lines = 0
        isHeadComplete = false
        isFolded = false
    }

    /** Scans the next bytes received on the connection without consuming them. */
    fun scan(bytes: ByteBuf) {
        var index = bytes.readerIndex()
        while (!isHeadComplete && index < bytes.writerIndex()) {
            val byte = bytes.getByte(index++)
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
