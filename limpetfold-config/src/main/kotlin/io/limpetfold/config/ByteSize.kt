package io.limpetfold.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A size in bytes, written with a unit: `512B`, `64KiB`, `4MiB`, `1GiB`. */
@Serializable(with = ByteSize.Serializer::class)
data class ByteSize(
    val bytes: Long,
) : Comparable<ByteSize> {
    override fun compareTo(other: ByteSize): Int = bytes.compareTo(other.bytes)

    override fun toString(): String =
        UNITS.entries
            .last { (_, factor) -> bytes % factor == 0L && (bytes >= factor || factor == 1L) }
            .let { (unit, factor) -> "${bytes / factor}$unit" }

    /** Serialises sizes in the text form of [ByteSize.toString]. */
    object Serializer : KSerializer<ByteSize> {
        override val descriptor: SerialDescriptor =
            PrimitiveSerialDescriptor("io.limpetfold.config.ByteSize", PrimitiveKind.STRING)

        override fun serialize(
            encoder: Encoder,
            value: ByteSize,
        ) = encoder.encodeString(value.toString())

        override fun deserialize(decoder: Decoder): ByteSize {
            val text = decoder.decodeString()
            return parse(text)
                ?: throw SerializationException("'$text' is not a size; write it as 512B, 64KiB, 4MiB or 1GiB")
        }
    }

    companion object {
        private const val KIB = 1024L
        private val UNITS = linkedMapOf("B" to 1L, "KiB" to KIB, "MiB" to KIB * KIB, "GiB" to KIB * KIB * KIB)
        private val PATTERN = Regex("([0-9]{1,9})(B|KiB|MiB|GiB)")

        /** Returns the size, or null when [text] is not of the form `64KiB`. */
        fun parse(text: String): ByteSize? {
            val (number, unit) = PATTERN.matchEntire(text)?.destructured ?: return null
            return ByteSize(number.toLong() * UNITS.getValue(unit))
        }
    }
}
