package io.limpetfold.router.operate

import com.github.michaelbull.result.get
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.core.EndpointId
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.EndpointSignal
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.time.Duration

/**
 * Polls the load reports of model engines and passes them to the limiter, which weights them by their age.
 *
 * Each round polls at most [maxEnginesPerRound] engines in turn, so that the requests of a router do not grow with the
 * number of engines.
 */
internal class LoadPoller(
    private val upstream: UpstreamClient,
    private val membership: Membership,
    private val limiter: EndpointLimiter,
    private val config: () -> FleetConfig?,
    private val maxEnginesPerRound: Int = 16,
) {
    private var nextIndex = 0

    /** Polls the next engines. */
    suspend fun maintain() {
        val services = config()?.services.orEmpty().filter { it.kind == ServiceKind.MODEL }
        val engines = services.flatMap { membership.endpoints(it.name) }.filterNot { it.isLeaving }
        if (engines.isEmpty()) return
        val polled = List(minOf(maxEnginesPerRound, engines.size)) { engines[(nextIndex + it) % engines.size] }
        nextIndex = (nextIndex + polled.size) % engines.size
        coroutineScope { polled.map { async { poll(it) } }.awaitAll() }
    }

    private suspend fun poll(engine: ListedInstance) {
        val request = UpstreamRequest("GET", "/v1/load", firstByteTimeout = TIMEOUT, idleTimeout = TIMEOUT)
        val response = upstream.send(HostPort(engine.host, engine.port), request).get() ?: return
        val body = response.use { if (it.head.status == OK) it.readAll(MAX_BYTES).get() else null } ?: return
        val endpoint = EndpointId(engine.instance.value)
        val report = decode(body) ?: return
        if (report.draining) limiter.observe(endpoint, EndpointSignal.Draining)
        val load = (report.running + report.waiting).toDouble() / report.capacity.coerceAtLeast(1)
        limiter.observe(endpoint, EndpointSignal.Load(load.coerceIn(0.0, 1.0)))
    }

    private fun decode(body: ByteArray): LoadReport? =
        try {
            LENIENT.decodeFromString(LoadReport.serializer(), body.decodeToString())
        } catch (_: SerializationException) {
            null
        }

    @Serializable
    private data class LoadReport(
        val running: Int,
        val waiting: Int = 0,
        val capacity: Int,
        val draining: Boolean = false,
    )

    private companion object {
        const val OK = 200
        const val MAX_BYTES = 16 * 1024
        val TIMEOUT: Duration = Duration.ofMillis(500)
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
