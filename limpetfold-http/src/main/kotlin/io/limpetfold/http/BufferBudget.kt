package io.limpetfold.http

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts and limits the bytes that the servers and clients of a process buffer for slow readers.
 *
 * A stream passes through two buffers in each direction (read from one connection, written to the other), and each
 * holds at most half of [streamBytes]. Once the process holds [processBytes], a running stream may still hold one piece
 * in each buffer, so that it is slowed down but never cut off.
 *
 * @property processBytes the limit for the process; default 64 MiB.
 * @property streamBytes the limit for each direction of a stream; default 64 KiB, at least 32 KiB.
 */
class BufferBudget(
    val processBytes: Long = DEFAULT_PROCESS_BYTES,
    val streamBytes: Int = DEFAULT_STREAM_BYTES,
    private val listener: BufferListener = BufferListener.NONE,
) {
    private val used = AtomicLong()
    private val peak = AtomicLong()
    private val bufferPeak = AtomicInteger()

    init {
        require(streamBytes >= MIN_STREAM_BYTES) { "streamBytes must be at least $MIN_STREAM_BYTES: raise it" }
    }

    /** The bytes buffered now. */
    val usedBytes: Long get() = used.get()

    /** The maximum of [usedBytes] so far. */
    val peakBytes: Long get() = peak.get()

    /** The maximum number of bytes that a single buffer of a stream has held so far. */
    val peakBufferBytes: Int get() = bufferPeak.get()

    /** Whether the process has reached [processBytes]. */
    val isFull: Boolean get() = used.get() >= processBytes

    /** The limit of a single buffer. */
    internal val bufferBytes: Int get() = streamBytes / 2

    /**
     * The maximum size of the pieces in which bodies are read and written; an empty buffer takes one even at the limit
     * of the process.
     */
    internal val pieceBytes: Int get() = minOf(MAX_PIECE_BYTES, bufferBytes / 2)

    /** Whether a buffer that holds [bufferedBytes] may take another piece of [bytes]; an empty buffer always may. */
    internal fun hasRoom(
        bufferedBytes: Int,
        bytes: Int,
    ): Boolean = bufferedBytes == 0 || (bufferedBytes + bytes <= bufferBytes && !isFull)

    internal fun add(
        bytes: Int,
        bufferedBytes: Int,
    ) {
        val now = used.addAndGet(bytes.toLong())
        peak.accumulateAndGet(now, ::maxOf)
        bufferPeak.accumulateAndGet(bufferedBytes, ::maxOf)
        listener.onProcessBytes(now, processBytes)
        listener.onStreamBytes(bufferedBytes, bufferBytes)
    }

    internal fun remove(
        bytes: Int,
        bufferedBytes: Int,
    ) {
        listener.onProcessBytes(used.addAndGet(-bytes.toLong()), processBytes)
        listener.onStreamBytes(bufferedBytes, bufferBytes)
    }

    internal fun recordRequestAtLimit() = listener.onRequestAtLimit()

    private companion object {
        const val DEFAULT_PROCESS_BYTES = 64L * 1024 * 1024
        const val DEFAULT_STREAM_BYTES = 64 * 1024
        const val MIN_STREAM_BYTES = 32 * 1024
        const val MAX_PIECE_BYTES = 16 * 1024
    }
}
