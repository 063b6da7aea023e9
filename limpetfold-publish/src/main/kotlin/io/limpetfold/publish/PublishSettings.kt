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
 * @property author recorded with each generation; if empty, the name of the operating system user.
 * @property callTimeout timeout for one call to the platform.
 * @property confirmWithin how long `publish` waits for all routers to confirm; a generation reaches every router
 *   within 18 s.
 */
@Serializable
data class PublishSettings(
    @AllowedPattern(AllowedPattern.ADDRESS)
    val platform: String,
    val author: String = "",
    @AllowedRange("100ms", "1m")
    @Serializable(with = DurationSerializer::class)
    val callTimeout: Duration = Duration.ofSeconds(DEFAULT_CALL_TIMEOUT_SECONDS),
    @AllowedRange("1s", "10m")
    @Serializable(with = DurationSerializer::class)
    val confirmWithin: Duration = Duration.ofSeconds(DEFAULT_CONFIRM_WITHIN_SECONDS),
) {
    internal fun effectiveAuthor(): String = author.ifEmpty { System.getProperty("user.name") ?: "unknown" }

    companion object {
        private const val DEFAULT_CALL_TIMEOUT_SECONDS = 5L

        /** A generation reaches every router within 18 s; the rest is a margin for the routers to report it. */
        private const val DEFAULT_CONFIRM_WITHIN_SECONDS = 25L
    }
}
