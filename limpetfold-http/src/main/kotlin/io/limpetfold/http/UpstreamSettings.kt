package io.limpetfold.http

import java.time.Duration

/**
 * Bounds of an [UpstreamClient].
 *
 * @property firstByteTimeout bound from the end of the request to the head of the answer.
 * @property idleTimeout bound on a connection that neither takes nor gives a byte while the client waits for it.
 * @property pooledIdleTimeout how long an unused connection is kept; a shorter `Keep-Alive` time of the endpoint goes before it.
 * @property keepAliveMargin how long before the end of the endpoint's `Keep-Alive` time a connection is no longer used.
 * @property requestIdHeader the field whose echo in the answer is compared.
 * @property acceptsCloseDelimitedResponses whether an answer without a length may end with its connection. A truncated one then looks whole unless
 * the endpoint resets the connection.
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
