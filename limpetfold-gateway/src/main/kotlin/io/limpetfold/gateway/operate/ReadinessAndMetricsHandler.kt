package io.limpetfold.gateway.operate

import io.limpetfold.gateway.observe.GatewayMetrics
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler

/** Serves the platform's readiness probe and the metrics. */
internal class ReadinessAndMetricsHandler(
    private val readiness: () -> Readiness,
    private val metrics: GatewayMetrics,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        if (exchange.head.path == METRICS_PATH) {
            return exchange.respond(OK, METRICS_TYPE, metrics.scrape().encodeToByteArray())
        }
        val state = readiness()
        exchange.respond(
            if (state == Readiness.READY) {
                OK
            } else {
                UNAVAILABLE
            },
            Headers.EMPTY,
            state.name.lowercase().encodeToByteArray(),
        )
    }

    private companion object {
        const val METRICS_PATH = "/metrics"
        const val OK = 200
        const val UNAVAILABLE = 503
        val METRICS_TYPE = Headers.of("Content-Type" to "text/plain; version=0.0.4")
    }
}
