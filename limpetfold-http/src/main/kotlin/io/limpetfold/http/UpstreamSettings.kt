package io.limpetfold.http

import java.time.Duration

/**
 * Bounds of an [UpstreamClient].
 *
 * @property firstByteTimeout bound from the end of the request to the head of the answer.
 * @property idleTimeout bound on a connection that neither takes nor gives a byte while the client waits for it.
 * @property pooledIdleTimeout how long an unused connection is kept.
 */
data class UpstreamSettings(
    val connectTimeout: Duration = Duration.ofSeconds(1),
    val firstByteTimeout: Duration = DEFAULT_TIMEOUT,
    val idleTimeout: Duration = DEFAULT_TIMEOUT,
    val pooledIdleTimeout: Duration = DEFAULT_TIMEOUT,
    val maxConnectionsPerAddress: Int = DEFAULT_MAX_CONNECTIONS,
    val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
) {
    private companion object {
        val DEFAULT_TIMEOUT: Duration = Duration.ofSeconds(30)
        const val DEFAULT_MAX_CONNECTIONS = 1024
        const val DEFAULT_MAX_HEADER_BYTES = 16 * 1024
    }
}
