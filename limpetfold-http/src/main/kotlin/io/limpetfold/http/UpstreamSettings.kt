package io.limpetfold.http

import java.time.Duration

/**
 * Timeouts and limits of an [UpstreamClient].
 *
 * @property firstByteTimeout maximum time from the end of the request to the head of the response.
 * @property idleTimeout maximum time in which the endpoint neither reads nor sends a byte while the client waits for
 * it.
 * @property pooledIdleTimeout how long an idle connection is kept; a shorter `Keep-Alive` timeout of the endpoint takes
 * precedence.
 * @property keepAliveMargin how long before the end of the endpoint's `Keep-Alive` timeout a connection is no longer
 * used.
 * @property requestIdHeader the request header field whose echo in the response is checked.
 * @property acceptsCloseDelimitedResponses whether a response without a length may end with its connection. A truncated
 * one then looks complete unless the endpoint resets the connection.
 */
data class UpstreamSettings(
    val connectTimeout: Duration = Duration.ofSeconds(1),
    val firstByteTimeout: Duration = DEFAULT_TIMEOUT,
    val idleTimeout: Duration = DEFAULT_TIMEOUT,
    val pooledIdleTimeout: Duration = DEFAULT_TIMEOUT,
    val maxConnectionsPerAddress: Int = DEFAULT_MAX_CONNECTIONS,
    val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    val keepAliveMargin: Duration = KEEP_ALIVE_MARGIN,
    val requestIdHeader: String = "X-Request-Id",
    val acceptsCloseDelimitedResponses: Boolean = false,
) {
    private companion object {
        val DEFAULT_TIMEOUT: Duration = Duration.ofSeconds(30)
        val KEEP_ALIVE_MARGIN: Duration = Duration.ofMillis(500)
        const val DEFAULT_MAX_CONNECTIONS = 1024
        const val DEFAULT_MAX_HEADER_BYTES = 16 * 1024
    }
}
