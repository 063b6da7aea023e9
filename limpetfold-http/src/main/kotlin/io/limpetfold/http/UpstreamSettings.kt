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
 * one then looks complete unless the endpoint resets the connection, or does not read the request to its end.
 * @property singleFields names of the header fields that may stand only once in a response, besides [requestIdHeader]
 * and those that frame the body; a response with two of one can't be used.
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
    val singleFields: Set<String> = GENERAL_SINGLE_FIELDS,
) {
    companion object {
        /** The fields of HTTP itself that stand once and that programs decide by. */
        val GENERAL_SINGLE_FIELDS: Set<String> = setOf("Content-Type", "ETag")
        private val DEFAULT_TIMEOUT: Duration = Duration.ofSeconds(30)
        private val KEEP_ALIVE_MARGIN: Duration = Duration.ofMillis(500)
        private const val DEFAULT_MAX_CONNECTIONS = 1024
        private const val DEFAULT_MAX_HEADER_BYTES = 16 * 1024
    }
}
