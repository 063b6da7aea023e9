package io.limpetfold.measure.slopes

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** Computes the size of peer messages with frames. Mirrors the frame types of the peer module, which are internal. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameSize {
    private const val LENGTH_BYTES = 4
    private const val TYPICAL_ID = 100_000L

    fun askBytes(
        topic: String,
        payloadBytes: Int,
    ): Int = bytes(Ask(TYPICAL_ID, topic, ByteArray(payloadBytes)))

    fun replyBytes(payloadBytes: Int): Int = bytes(Reply(TYPICAL_ID, ByteArray(payloadBytes)))

    private fun bytes(frame: Frame): Int = LENGTH_BYTES + Cbor.encodeToByteArray(Frame.serializer(), frame).size

    @Serializable
    private sealed interface Frame

    @Serializable
    @SerialName("q")
    private class Ask(
        val id: Long,
        val topic: String,
        @ByteString val payload: ByteArray,
    ) : Frame

    @Serializable
    @SerialName("a")
    private class Reply(
        val id: Long,
        @ByteString val payload: ByteArray,
    ) : Frame
}
