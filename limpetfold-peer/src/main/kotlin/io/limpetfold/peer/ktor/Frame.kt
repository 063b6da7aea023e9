package io.limpetfold.peer.ktor

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** A message between authenticated peers, encoded as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal sealed interface Frame {
    /** A request on [topic]; [id] is unique on the connection for each direction. */
    @Serializable
    @SerialName("q")
    class Ask(
        val id: Long,
        val topic: String,
        @ByteString val payload: ByteArray,
    ) : Frame

    /** The response to the [Ask] with the same id. */
    @Serializable
    @SerialName("a")
    class Reply(
        val id: Long,
        @ByteString val payload: ByteArray,
    ) : Frame

    /** Reports that the [Ask] with the same id failed. */
    @Serializable
    @SerialName("r")
    class Rejection(
        val id: Long,
        val reason: String,
    ) : Frame

    /** Keeps an idle connection alive. */
    @Serializable
    @SerialName("p")
    data object Ping : Frame

    companion object {
        val CBOR: Cbor = Cbor { ignoreUnknownKeys = true }

        fun decode(bytes: ByteArray): Frame = decode(serializer(), bytes)

        /**
         * Decodes a message that a peer sent; throws only [SerializationException].
         *
         * On malformed CBOR the library also throws others, such as [IndexOutOfBoundsException] for a length near 2^31.
         */
        fun <T> decode(
            deserializer: DeserializationStrategy<T>,
            bytes: ByteArray,
        ): T =
            try {
                CBOR.decodeFromByteArray(deserializer, bytes)
            } catch (e: SerializationException) {
                throw e
            } catch (e: RuntimeException) {
                throw SerializationException("the bytes are no CBOR of ${deserializer.descriptor.serialName}", e)
            }

        fun encode(frame: Frame): ByteArray = CBOR.encodeToByteArray(serializer(), frame)
    }
}
