package io.limpetfold.publish

import io.limpetfold.config.AllowedPattern
import io.limpetfold.config.AllowedRange
import io.limpetfold.config.DurationSerializer
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Settings of `limpetfold-publish`.
 *
 * @property platform address and port of the platform's object API.
 * @property author recorded with each generation; empty takes the name of the operating system's user.
 * @property callTimeout bound on one call to the platform.
 * @property confirmWithin how long `publish` waits for all routers; the fleet's bound on propagation is 18 s.
 */
@Serializable
data class PublishSettings(
    @AllowedPattern(AllowedPattern.ADDRESS)
    val platform: String,
    val author: String = "",
    @AllowedRange("100ms", "1m")
    @Serializable(with = DurationSerializer::class)
    val callTimeout: Duration = Duration.ofSeconds(CALL_SECONDS),
    @AllowedRange("1s", "10m")
    @Serializable(with = DurationSerializer::class)
    val confirmWithin: Duration = Duration.ofSeconds(CONFIRM_SECONDS),
) {
    internal fun effectiveAuthor(): String = author.ifEmpty { System.getProperty("user.name") ?: "unknown" }

    companion object {
        private const val CALL_SECONDS = 5L

        /** The propagation bound of 18 s, and a margin for the routers to report it. */
        private const val CONFIRM_SECONDS = 25L
    }
}
