package io.limpetfold.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.time.Duration

/** Serialises durations as text with a unit: `250ms`, `18s`, `5m`, `24h`. */
object DurationSerializer : KSerializer<Duration> {
    private val PATTERN = Regex("([0-9]{1,9})(ms|s|m|h)")
    private const val MILLIS_PER_MINUTE = 60_000L
    private const val MILLIS_PER_HOUR = 3_600_000L

    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("io.limpetfold.config.Duration", PrimitiveKind.STRING)

    /** Returns the duration, or null when [text] is not of the form `250ms`. */
    fun parse(text: String): Duration? {
        val (number, unit) = PATTERN.matchEntire(text)?.destructured ?: return null
        val value = number.toLong()
        return when (unit) {
            "ms" -> Duration.ofMillis(value)
            "s" -> Duration.ofSeconds(value)
            "m" -> Duration.ofMinutes(value)
            else -> Duration.ofHours(value)
        }
    }

    /** Formats [duration] in the largest unit that represents it exactly; fractions of a millisecond are dropped. */
    fun format(duration: Duration): String {
        val millis = duration.toMillis()
        return when {
            millis == 0L -> "0ms"
            millis % MILLIS_PER_HOUR == 0L -> "${millis / MILLIS_PER_HOUR}h"
            millis % MILLIS_PER_MINUTE == 0L -> "${millis / MILLIS_PER_MINUTE}m"
            millis % 1000 == 0L -> "${millis / 1000}s"
            else -> "${millis}ms"
        }
    }

    override fun serialize(
        encoder: Encoder,
        value: Duration,
    ) = encoder.encodeString(format(value))

    override fun deserialize(decoder: Decoder): Duration {
        val text = decoder.decodeString()
        return parse(text)
            ?: throw SerializationException("'$text' is not a duration; write it as 250ms, 18s, 5m or 24h")
    }
}
