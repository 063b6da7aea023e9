package io.limpetfold.router.operate

import com.github.michaelbull.result.get
import io.limpetfold.core.EndpointId
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.limits.EndpointProbe
import java.time.Duration

/**
 * Probes endpoints that are out of rotation. An endpoint is healthy when `GET /healthz` returns 200 without the
 * `X-Draining` header.
 */
internal class HttpEndpointProbe(
    private val upstream: UpstreamClient,
    private val address: (EndpointId) -> HostPort?,
) : EndpointProbe {
    override suspend fun probe(endpoint: EndpointId): Boolean {
        val target = address(endpoint) ?: return false
        val request = UpstreamRequest("GET", "/healthz", firstByteTimeout = TIMEOUT, idleTimeout = TIMEOUT)
        val response = upstream.send(target, request).get() ?: return false
        return response.use { it.head.status == OK && it.head.headers["X-Draining"] != "true" }
    }

    private companion object {
        const val OK = 200
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
