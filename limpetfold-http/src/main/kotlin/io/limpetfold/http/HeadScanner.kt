package io.limpetfold.http

import io.netty.buffer.ByteBuf

/**
 * Scans the heads of messages as they were received: counts the bytes of their header fields, and detects fields that
 * continue on the next line (obsolete line folding, RFC 9112) and lines without a valid field name.
 *
 * Netty's decoder joins folded lines, while other HTTP parsers may read them as separate fields, which allows request
 * smuggling. In responses it also drops what stands between the first blank of a name and the colon.
 */
internal class HeadScanner {
    private var lineBytes = 0
    private var lines = 0
    private var isHeadComplete = false
    private var isNameComplete = false

    /** The size of the header field lines scanned so far, line ends included; the first line does not count. */
    var fieldBytes = 0L
        private set

    /** Whether the head scanned so far has a folded field. */
    var isFolded = false
        private set

    /** Whether the head scanned so far has a line that does not begin with a field name and a colon. */
    var hasMalformedName = false
        private set

    /** Prepares for the head of the next message. */
    fun reset() {
        lineBytes = 0
        lines = 0
        isHeadComplete = false
        isNameComplete = false
        isFolded = false
        hasMalformedName = false
        fieldBytes = 0
    }

    /** Scans the next bytes received on the connection without consuming them. */
    fun scan(bytes: ByteBuf) {
        var index = bytes.readerIndex()
        while (!isHeadComplete && index < bytes.writerIndex()) {
            val byte = bytes.getByte(index++)
            if (lines > 0) fieldBytes++
            when (byte) {
                LINE_FEED -> endLine()
                CARRIAGE_RETURN -> Unit
                else -> {
                    if (lines > 0) scanField(byte)
                    lineBytes++
                }
            }
        }
    }

    private fun endLine() {
        if (lines > 0 && lineBytes == 0) isHeadComplete = true
        if (lines > 0 && lineBytes > 0 && !isNameComplete) hasMalformedName = true
        if (lineBytes > 0) lines++
        lineBytes = 0
        isNameComplete = false
    }

    private fun scanField(byte: Byte) {
        val isBlank = byte == SPACE || byte == TAB
        when {
            isNameComplete -> Unit
            isBlank && lineBytes == 0 -> {
                isFolded = true
                isNameComplete = true
            }
            byte == COLON && lineBytes > 0 -> isNameComplete = true
            !byte.toInt().toChar().isTokenChar() -> hasMalformedName = true
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val COLON = ':'.code.toByte()
        const val TAB = '\t'.code.toByte()
    }
}
