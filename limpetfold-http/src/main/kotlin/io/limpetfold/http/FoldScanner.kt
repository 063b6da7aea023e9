package io.limpetfold.http

import io.netty.buffer.ByteBuf

/** Finds a header field that continues on the next line; the decoder joins such lines, and other parties read them in other ways. */
internal class FoldScanner {
    private var lineBytes = 0
    private var lines = 0
    private var isHeadOver = false

    /** Whether the head seen so far has a folded field. */
    var isFolded = false
        private set

    /** Forgets the last head. */
    fun reset() {
        lineBytes = 0
        lines = 0
        isHeadOver = false
        isFolded = false
    }

    /** Looks at the next bytes of the connection without consuming them. */
    fun scan(bytes: ByteBuf) {
        var index = bytes.readerIndex()
        while (!isHeadOver && index < bytes.writerIndex()) {
            val byte = bytes.getByte(index++)
            when {
                byte == LINE_FEED -> {
                    if (lines > 0 && lineBytes == 0) isHeadOver = true
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
