package io.limpetfold.peer.ktor

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** Reads and writes frames, each prefixed with its length in four bytes. */
internal class FrameChannel(
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
) {
    /**
     * Reads one frame.
     *
     * Throws [ProtocolException] if its length is outside 1..[maxBytes], before allocating memory for it.
     */
    suspend fun read(maxBytes: Int): ByteArray {
        val size = input.readInt()
        if (size !in 1..maxBytes) throw ProtocolException("a frame of $size bytes is outside 1..$maxBytes")
        return input.readByteArray(size)
    }

    /** Writes one frame to the output buffer; call [flush] to send it. */
    suspend fun write(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }

    suspend fun flush() = output.flush()
}
