package io.limpetfold.peer.ktor

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** Frames with a four-byte length before them. */
internal class FrameChannel(
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
) {
    /** Reads one frame; a length outside 1..[maxBytes] fails before anything is allocated for it. */
    suspend fun read(maxBytes: Int): ByteArray {
        val size = input.readInt()
        if (size !in 1..maxBytes) throw ProtocolException("a frame of $size bytes is outside 1..$maxBytes")
        return input.readByteArray(size)
    }

    /** Writes one frame into the output buffer. */
    suspend fun write(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }

    suspend fun flush() = output.flush()
}
