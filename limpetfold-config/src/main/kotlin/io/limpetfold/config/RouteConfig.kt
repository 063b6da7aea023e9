package io.limpetfold.config

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * A route from callers to the endpoints of one service.
 *
 * @property pathPrefix matches whole path segments; the longest matching prefix of the fleet wins.
 * @property service in a service file it may be left out: the file's service.
 * @property activeVersion the version in force while no move of the route says otherwise.
 * @property connectTimeout bound on opening a connection to an endpoint.
 * @property idleTimeout bound on the time in which an endpoint sends no byte.
 * @property requestTimeout bound on the whole request, retries and waiting included.
 * @property moves preset of the route's moves between versions.
 */
@Serializable
data class RouteConfig(
    @AllowedPattern(AllowedPattern.NAME)
    val route: RouteId,
    @AllowedPattern(AllowedPattern.PATH)
    val pathPrefix: String,
    @AllowedPattern(AllowedPattern.NAME)
    val service: String = "",
    @AllowedPattern(AllowedPattern.NAME)
    val activeVersion: VersionId,
    @AllowedRange("10ms", "1m")
    @Serializable(with = DurationSerializer::class)
    val connectTimeout: Duration = Duration.ofSeconds(1),
    @AllowedRange("100ms", "10m")
    @Serializable(with = DurationSerializer::class)
    val idleTimeout: Duration = Duration.ofSeconds(IDLE_SECONDS),
    @AllowedRange("100ms", "2m")
    @Serializable(with = DurationSerializer::class)
    val requestTimeout: Duration = Duration.ofMinutes(2),
    @AllowedRange("1KiB", "8MiB")
    val maxRequestBytes: ByteSize = ByteSize(REQUEST_BYTES),
    val queue: QueueLimits = QueueLimits(),
    val retries: RetryLimits = RetryLimits(),
    val moves: TradeoffPreset = TradeoffPreset.AVAILABILITY,
    val objectives: Objectives = Objectives(),
    @Serializable(with = ImmutableListSerializer::class)
    val calls: ImmutableList<CallRule> = persistentListOf(),
) {
    /**
     * Returns the rule for a call, the first that matches.
     *
     * Without one, only the methods that HTTP defines as safe are repeatable.
     */
    fun callRule(
        method: String,
        path: String,
    ): CallRule =
        calls.firstOrNull { it.matches(method, path) }
            ?: CallRule(method, path, isRepeatable = method in SAFE_METHODS)

    internal fun matches(path: String): Boolean =
        pathPrefix == "/" || path == pathPrefix || path.startsWith("$pathPrefix/")

    companion object {
        private const val IDLE_SECONDS = 30L
        private const val REQUEST_BYTES = 1_048_576L
        private val SAFE_METHODS = setOf("GET", "HEAD", "OPTIONS")
    }
}
