package io.limpetfold.http

import java.time.Duration

/**
 * A request to an endpoint.
 *
 * @property target path and query in origin form.
 * @property headers fields to send; hop-by-hop fields are dropped, and a `Host` field is sent in place of the
 * endpoint's address.
 * @property firstByteTimeout overrides [UpstreamSettings.firstByteTimeout] for this request.
 * @property idleTimeout overrides [UpstreamSettings.idleTimeout] for this request.
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
