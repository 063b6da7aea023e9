package io.limpetfold.gateway.call

import java.time.Duration

/** The value of a `Retry-After` header field of an endpoint. */
internal sealed interface RetryAfter {
    /** The endpoint wants no calls for [pause]. */
    data class Seconds(
        val pause: Duration,
    ) : RetryAfter

    /** The endpoint wants no calls for longer than [MAX_PAUSE], which is the pause that it gets. */
    data object TooLong : RetryAfter

    /** The value is no number of seconds; the endpoint gets no pause. */
    data object Invalid : RetryAfter

    companion object {
        val MAX_PAUSE: Duration = Duration.ofMinutes(5)
        private const val MILLIS_PER_SECOND = 1000
        private val DECIMAL = Regex("\\d{1,18}(\\.\\d{1,9})?")

        /** Parses a number of seconds, which may have a fraction. */
        fun parse(text: String): RetryAfter {
            val trimmed = text.trim()
            if (!DECIMAL.matches(trimmed)) return Invalid
            val seconds = trimmed.toDouble()
            if (seconds > MAX_PAUSE.toSeconds()) return TooLong
            return Seconds(Duration.ofMillis((seconds * MILLIS_PER_SECOND).toLong()))
        }
    }
}
