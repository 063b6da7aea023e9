package io.limpetfold.http

import java.time.Duration

/**
 * The limits of the connections of an [HttpServer] that may change while it runs.
 *
 * A request is subject to the limits in force when its first byte arrived.
 *
 * @property maxHeaderBytes maximum size of the header field lines of a request; at most [MAX_HEADER_BYTES].
 * @property maxBodyBytes maximum size of a request body.
 * @property headerTimeout maximum time from the first byte of a request head to its end.
 * @property idleTimeout time for which callers may count on a connection without a request.
 * @property idleMargin additional time before an idle connection is closed, for requests that are on their way.
 * @property announcesIdleTimeout whether responses tell callers [idleTimeout], in whole seconds, in `Keep-Alive`.
 */
data class ConnectionLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
    val idleMargin: Duration = Duration.ZERO,
    val announcesIdleTimeout: Boolean = false,
) {
    init {
        require(maxHeaderBytes <= MAX_HEADER_BYTES) { "maxHeaderBytes exceeds $MAX_HEADER_BYTES: lower it" }
    }

    companion object {
        /** Upper bound of [maxHeaderBytes]; the decoder of each connection accepts header fields up to this size. */
        const val MAX_HEADER_BYTES = 256 * 1024
    }
}
