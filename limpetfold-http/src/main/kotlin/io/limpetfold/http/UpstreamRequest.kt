package io.limpetfold.http

import java.time.Duration

/**
 * A request to an endpoint.
 *
 * @property target path and query in origin form.
 * @property headers fields to send; those of the connection itself are ignored, and a `Host` field replaces the address.
 * @property firstByteTimeout replaces the client's setting for this request.
 * @property idleTimeout replaces the client's setting for this request.
 */
data class UpstreamRequest(
    val method: String,
    val target: String,
    val headers: Headers = Headers.EMPTY,
    val body: UpstreamBody = UpstreamBody.None,
    val requestIdEcho: RequestIdEcho = RequestIdEcho.IF_PRESENT,
    val firstByteTimeout: Duration? = null,
    val idleTimeout: Duration? = null,
)
