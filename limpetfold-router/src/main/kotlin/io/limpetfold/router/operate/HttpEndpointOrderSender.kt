package io.limpetfold.router.operate

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import io.limpetfold.rollout.EndpointOrder
import io.limpetfold.rollout.EndpointOrderSender
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.Duration

/** Sends orders to all engines of a version over HTTP; plain services get no orders. */
internal class HttpEndpointOrderSender(
    private val upstream: UpstreamClient,
    private val membership: Membership,
    private val config: () -> FleetConfig?,
) : EndpointOrderSender {
    override suspend fun send(
        order: EndpointOrder,
        timeout: Duration,
    ): Result<Unit, String> {
        val currentConfig = config() ?: return Err("no configuration was received yet")
        val route = currentConfig.route(order.route) ?: return Err("route ${order.route} is not configured")
        if (currentConfig.service(route.service)?.kind != ServiceKind.MODEL) return Ok(Unit)
        val endpoints = membership.endpoints(route.service).filter { it.version == order.version }
        val failures =
            withTimeoutOrNull(timeout.toMillis()) {
                coroutineScope { endpoints.map { async { sendOne(it, order, timeout) } }.awaitAll() }
            } ?: return Err("no response within ${timeout.toMillis()} ms")
        return failures.filterNotNull().firstOrNull()?.let { Err(it) } ?: Ok(Unit)
    }

    private suspend fun sendOne(
        endpoint: ListedInstance,
        order: EndpointOrder,
        timeout: Duration,
    ): String? {
        val request =
            UpstreamRequest(
                "POST",
                "/v1/orders",
                Headers.of("Content-Type" to "application/json"),
                UpstreamBody.Bytes(body(order)),
                firstByteTimeout = timeout,
            )
        val response =
            upstream
                .send(HostPort(endpoint.host, endpoint.port), request)
                .getOrElse { return "endpoint ${endpoint.instance}: ${it.message}" }
        return response.use {
            val status = it.head.status
            if (status in SUCCESS ||
                status == CONFLICT
            ) {
                null
            } else {
                "endpoint ${endpoint.instance} responded with status $status"
            }
        }
    }

    private fun body(order: EndpointOrder): ByteArray {
        val name =
            when (order) {
                is EndpointOrder.Drain -> "drain"
                is EndpointOrder.Unload -> "unload"
            }
        return buildJsonObject {
            put("order", name)
            put("version", order.version.value)
            put("fencing", order.fencing.number)
        }.toString().encodeToByteArray()
    }

    private companion object {
        val SUCCESS = 200..299

        /**
         * The endpoint knows a newer fencing token: this controller was replaced, and its order must not be repeated.
         */
        const val CONFLICT = 409
    }
}
