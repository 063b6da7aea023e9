package io.limpetfold.router.settings

import io.limpetfold.config.AllowedPattern
import io.limpetfold.config.AllowedRange
import io.limpetfold.config.ByteSize
import io.limpetfold.config.DurationSerializer
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.http.HostPort
import io.limpetfold.peer.ListedInstance
import io.limpetfold.platform.PlatformSettings
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Settings of a router process, read from YAML.
 *
 * @property instance the name that the platform gave to this instance.
 * @property zone the availability zone of this instance.
 * @property platform the platform's object API, as `host:port`.
 */
@Serializable
data class RouterSettings(
    @AllowedPattern(AllowedPattern.NAME)
    val instance: String,
    @AllowedPattern(AllowedPattern.NAME)
    val zone: String,
    val callers: ListenSettings,
    val operators: OperatorSettings,
    val peers: PeerSettings,
    @AllowedPattern(AllowedPattern.ADDRESS)
    val platform: String,
    val buffers: BufferSettings = BufferSettings(),
    val stop: StopSettings = StopSettings(),
) {
    internal fun platformSettings() =
        PlatformSettings(
            HostPort(platform.substringBeforeLast(':'), platform.substringAfterLast(':').toInt()),
        )
}

/** An address to listen on; with [port] 0 the system chooses a free port. */
@Serializable
data class ListenSettings(
    val host: String = "127.0.0.1",
    @AllowedRange("0", "65535")
    val port: Int,
)

/**
 * The operators' port.
 *
 * @property key bearer token required for status, request traces and spends; health, readiness and metrics need none.
 */
@Serializable
data class OperatorSettings(
    val host: String = "127.0.0.1",
    @AllowedRange("0", "65535")
    val port: Int,
    val key: String,
)

/**
 * The peer port.
 *
 * @property key secret shared by the routers of a fleet, at least 32 characters.
 * @property seeds addresses of routers to join while the platform is unavailable, as `instance@zone=host:port`.
 */
@Serializable
data class PeerSettings(
    val host: String = "127.0.0.1",
    @AllowedRange("0", "65535")
    val port: Int,
    val key: String,
    val seeds: List<String> = emptyList(),
) {
    /** The parsed seeds, or null when one of them is malformed. */
    fun seedsOrNull(): List<ListedInstance>? {
        val parsed = seeds.map { SEED.matchEntire(it)?.groupValues ?: return null }
        return parsed.map { groups ->
            ListedInstance(
                InstanceId(groups[1]),
                ListedInstance.ROUTER_SERVICE,
                VersionId("seed"),
                ZoneId(groups[2]),
                groups[3],
                groups[4].toInt(),
            )
        }
    }

    private companion object {
        val SEED = Regex("([A-Za-z0-9._-]+)@([A-Za-z0-9._-]+)=([0-9A-Fa-f.:]+):([0-9]{1,5})")
    }
}

/**
 * Limits of the bytes held in memory.
 *
 * @property process maximum of the bytes held for slow readers in the whole process.
 * @property stream maximum of the bytes held for slow readers in each direction of a stream.
 * @property bodies maximum of the request bodies of model calls in the whole process, which are held until a call ends.
 */
@Serializable
data class BufferSettings(
    @AllowedRange("1MiB", "16GiB")
    val process: ByteSize = ByteSize(64L * 1024 * 1024),
    @AllowedRange("32KiB", "4MiB")
    val stream: ByteSize = ByteSize(64L * 1024),
    @AllowedRange("8MiB", "16GiB")
    val bodies: ByteSize = ByteSize(64L * 1024 * 1024),
)

/**
 * Durations of a graceful shutdown.
 *
 * @property balancerWait time between turning readiness off and refusing new requests, so that the platform's load
 *   balancer notices it.
 * @property drain the longest wait for running requests; after it their connections are closed.
 */
@Serializable
data class StopSettings(
    @AllowedRange("0ms", "5m")
    @Serializable(with = DurationSerializer::class)
    val balancerWait: Duration = Duration.ofSeconds(5),
    @AllowedRange("0ms", "10m")
    @Serializable(with = DurationSerializer::class)
    val drain: Duration = Duration.ofMinutes(2),
)
