package io.limpetfold.http

import java.time.Duration

private val KEEP_ALIVE_SECONDS = Regex("timeout\\s*=\\s*(\\d{1,6})")

/**
 * Returns how long a connection may stay idle after a response with [headers] and still be used again.
 *
 * A request that is sent while the endpoint closes the idle connection is lost with an unknown outcome. The time is
 * therefore shorter than the `Keep-Alive` timeout of the endpoint by the configured margin.
 */
internal fun keepAliveLimit(
    headers: Headers,
    settings: UpstreamSettings,
): Duration {
    val seconds =
        headers["Keep-Alive"]
            ?.let { KEEP_ALIVE_SECONDS.find(it) }
            ?.groupValues
            ?.get(1)
            ?.toLong()
            ?: return settings.pooledIdleTimeout
    val usable = Duration.ofSeconds(seconds).minus(settings.keepAliveMargin)
    return if (usable.isNegative) Duration.ZERO else minOf(usable, settings.pooledIdleTimeout)
}
