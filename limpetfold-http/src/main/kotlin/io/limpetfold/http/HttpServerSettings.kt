package io.limpetfold.http

import java.time.Duration

/**
 * Address, size limits and timeouts of an [HttpServer].
 *
 * @property port the port to bind; 0 chooses a free one.
 * @property maxHeaderBytes maximum size of the header field lines of a request.
 * @property headerTimeout maximum time from the first byte of a request head to its end.
 * @property idleTimeout maximum time that a connection stays open without a request.
 * @property bodyIdleTimeout maximum time without a received byte while the handler waits for the request body.
 * @property writeIdleTimeout maximum time in which the caller reads no byte of a pending response.
 * @property singleFields names of the header fields that may stand only once in a request, besides `Host` and those that
 *   frame the body; two values of a field that decides something could be read differently by the next program.
 * @property refusalHeaders header fields of the responses to requests that are refused before a handler sees them.
 */
data class HttpServerSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val maxRequestLineBytes: Int = 8 * 1024,
    val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    val maxHeaderCount: Int = 100,
    val maxBodyBytes: Long = 8L * 1024 * 1024,
    val maxConnections: Int = 10_000,
    val headerTimeout: Duration = Duration.ofSeconds(10),
    val idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT,
    val bodyIdleTimeout: Duration = DEFAULT_BODY_IDLE_TIMEOUT,
    val writeIdleTimeout: Duration = DEFAULT_WRITE_IDLE_TIMEOUT,
    val singleFields: Set<String> = GENERAL_SINGLE_FIELDS,
    val refusalHeaders: Headers = Headers.EMPTY,
) {
    /** The limits of this settings object that an [HttpServer] may also take from a [ConnectionLimitsSource]. */
    val connectionLimits: ConnectionLimits
        get() = ConnectionLimits(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)

    companion object {
        /** The fields of HTTP itself that stand once and that programs decide by. */
        val GENERAL_SINGLE_FIELDS: Set<String> = setOf("Authorization", "Content-Type")
        private const val DEFAULT_MAX_HEADER_BYTES = 16 * 1024

        /**
         * Longer than the 60 s after which load balancers usually close an idle connection, so that the server does not
         * close it first.
         */
        private val DEFAULT_IDLE_TIMEOUT: Duration = Duration.ofSeconds(75)
        private val DEFAULT_BODY_IDLE_TIMEOUT: Duration = Duration.ofSeconds(30)
        private val DEFAULT_WRITE_IDLE_TIMEOUT: Duration = Duration.ofSeconds(120)
    }
}
