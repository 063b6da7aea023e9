package io.limpetfold.http

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the bytes that the servers and clients of a process hold for slow readers.
 *
 * A stream passes through two buffers in each direction (read from one connection, written to the other), and each holds at most half
 * of [streamBytes]. At [processBytes] a running stream may still hold one piece in each buffer, so that it is slowed and never cut.
 *
 * @property processBytes the bound for the process; default 64 MiB.
 * @property streamBytes the bound for each direction of a stream; default 64 KiB, at least 32 KiB.
 */
class BufferBudget(
    val processBytes: Long = DEFAULT_PROCESS_BYTES,
    val streamBytes: Int = DEFAULT_STREAM_BYTES,
    private val listener: BufferListener = BufferListener.NONE,
) {
    private val used = AtomicLong()
    private val peak = AtomicLong()
    private val streamPeak = AtomicInteger()

    init {
        require(streamBytes >= MIN_STREAM_BYTES) { "streamBytes must be at least $MIN_STREAM_BYTES: raise it" }
    }

    /** Bytes held now. */
    val usedBytes: Long get() = used.get()

    /** The most bytes ever held. */
    val peakBytes: Long get() = peak.get()

    /** The most bytes ever held by one buffer of one stream. */
    val peakBufferBytes: Int get() = streamPeak.get()

    /** True at or above the bound of the process. */
    val isFull: Boolean get() = used.get() >= processBytes

    /** The bound of one buffer. */
    internal val bufferBytes: Int get() = streamBytes / 2

    /** The size of the pieces in which bodies are read and written; one piece fits a buffer even at the bound of the process. */
    internal val pieceBytes: Int get() = minOf(MAX_PIECE_BYTES, bufferBytes / 2)

    /** Whether a buffer that holds [heldBytes] may take another piece of [bytes]. */
    internal fun hasRoom(
        heldBytes: Int,
        bytes: Int,
    ): Boolean = heldBytes == 0 || (heldBytes + bytes <= bufferBytes && !isFull)

    internal fun add(
        bytes: Int,
        heldBytes: Int,
    ) {
        val now = used.addAndGet(bytes.toLong())
        peak.accumulateAndGet(now, ::maxOf)
        streamPeak.accumulateAndGet(heldBytes, ::maxOf)
        listener.onProcessBytes(now, processBytes)
        listener.onStreamBytes(heldBytes, bufferBytes)
    }

    internal fun remove(
        bytes: Int,
        heldBytes: Int,
    ) {
        listener.onProcessBytes(used.addAndGet(-bytes.toLong()), processBytes)
        listener.onStreamBytes(heldBytes, bufferBytes)
    }

    internal fun noteRequestAtLimit() = listener.onRequestAtLimit()

    private companion object {
        const val DEFAULT_PROCESS_BYTES = 64L * 1024 * 1024
        const val DEFAULT_STREAM_BYTES = 64 * 1024
        const val MIN_STREAM_BYTES = 32 * 1024
        const val MAX_PIECE_BYTES = 16 * 1024
    }
}
