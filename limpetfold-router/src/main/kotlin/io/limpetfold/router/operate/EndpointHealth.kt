package io.limpetfold.router.operate

import com.github.michaelbull.result.get
import io.limpetfold.core.EndpointId
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.limits.EndpointProbe
import java.time.Duration

/** Probes endpoints that were taken out: `GET /healthz` answered with 200 and without the draining header. */
internal class EndpointHealth(
    private val upstream: UpstreamClient,
    private val address: (EndpointId) -> HostPort?,
) : EndpointProbe {
    override suspend fun probe(endpoint: EndpointId): Boolean {
        val target = address(endpoint) ?: return false
        val request = UpstreamRequest("GET", "/healthz", firstByteTimeout = TIMEOUT, idleTimeout = TIMEOUT)
        val answer = upstream.send(target, request).get() ?: return false
        return answer.use { it.head.status == OK && it.head.headers["X-Draining"] != "true" }
    }

    private companion object {
        const val OK = 200
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
