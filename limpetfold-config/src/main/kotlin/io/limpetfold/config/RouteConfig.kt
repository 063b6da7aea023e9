package io.limpetfold.config

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Routes calls under one path prefix to the endpoints of one service.
 *
 * @property pathPrefix matches whole path segments; the longest matching prefix of the fleet wins.
 * @property service name of the service; in a service file it may be omitted and defaults to the service of the file.
 * @property activeVersion the version that receives the traffic, unless a move of the route overrides it.
 * @property connectTimeout timeout for opening a connection to an endpoint.
 * @property idleTimeout longest time without a byte from the endpoint.
 * @property requestTimeout timeout for the whole request, including retries and waiting.
 * @property moves trade-off preset for the route's moves between versions.
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
    val idleTimeout: Duration = Duration.ofSeconds(DEFAULT_IDLE_TIMEOUT_SECONDS),
    @AllowedRange("100ms", "2m")
    @Serializable(with = DurationSerializer::class)
    val requestTimeout: Duration = Duration.ofMinutes(2),
    @AllowedRange("1KiB", "8MiB")
    val maxRequestBytes: ByteSize = ByteSize(DEFAULT_MAX_REQUEST_BYTES),
    val queue: QueueLimits = QueueLimits(),
    val retries: RetryLimits = RetryLimits(),
    val moves: TradeoffPreset = TradeoffPreset.AVAILABILITY,
    val objectives: Objectives = Objectives(),
    @Serializable(with = ImmutableListSerializer::class)
    val calls: ImmutableList<CallRule> = persistentListOf(),
) {
    /**
     * Returns the first rule that matches a call.
     *
     * Without a matching rule, only the methods that HTTP defines as safe are repeatable.
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
        private const val DEFAULT_IDLE_TIMEOUT_SECONDS = 30L
        private const val DEFAULT_MAX_REQUEST_BYTES = 1_048_576L
        private val SAFE_METHODS = setOf("GET", "HEAD", "OPTIONS")
    }
}
