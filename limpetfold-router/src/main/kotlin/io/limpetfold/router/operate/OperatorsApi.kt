package io.limpetfold.router.operate

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.router.observe.RequestTrace
import io.limpetfold.router.observe.RouterMetrics
import io.limpetfold.router.observe.TraceLog
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/**
 * The HTTP API on the operators' port.
 *
 * Health, readiness and metrics need no key. Status, request traces and spends need the operators' key.
 *
 * @param replicatedSpend the highest reachable copy of a holder's cumulative spend, or null when there is none.
 */
internal class OperatorsApi(
    private val key: String,
    private val readiness: () -> Readiness,
    private val status: () -> RouterView,
    private val traces: TraceLog,
    private val metrics: RouterMetrics,
    private val replicatedSpend: suspend (Incarnation, WorkspaceId) -> Long?,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.head.path
        when {
            exchange.head.method != "GET" -> respondText(exchange, METHOD_NOT_ALLOWED, "use GET\n")
            path == "/healthz" -> respondText(exchange, OK, "ok\n")
            path == "/readyz" -> respondReadiness(exchange)
            path == "/metrics" -> respond(exchange, OK, METRICS_TYPE, metrics.registry.scrape())
            !isAuthorized(
                exchange,
            ) -> respondText(exchange, UNAUTHORIZED, "send Authorization: Bearer with the operators' key\n")
            path == "/status" ->
                respond(
                    exchange,
                    OK,
                    JSON_TYPE,
                    JSON.encodeToString(RouterView.serializer(), status()),
                )
            path.startsWith(REQUESTS) -> {
                val found = traces.find(path.removePrefix(REQUESTS))
                val body = JSON.encodeToString(ListSerializer(RequestTrace.View.serializer()), found)
                respond(exchange, if (found.isEmpty()) NOT_FOUND else OK, JSON_TYPE, body)
            }
            path.startsWith(SPENT) -> respondSpend(exchange, path.removePrefix(SPENT))
            else ->
                respondText(
                    exchange,
                    NOT_FOUND,
                    "use /healthz, /readyz, /metrics, /status, /requests/ID or /spent/WORKSPACE/HOLDER\n",
                )
        }
    }

    /** Responds with the cumulative spend of a holder from its copies; `budget reclaim` needs it. */
    private suspend fun respondSpend(
        exchange: HttpExchange,
        target: String,
    ) {
        val holder = Incarnation.parse(target.substringAfter('/', ""))
        val tokens = holder?.let { replicatedSpend(it, WorkspaceId(target.substringBefore('/'))) }
        if (tokens == null) {
            respondText(exchange, NOT_FOUND, "no copy of this holder's spend is known\n")
        } else {
            respondText(exchange, OK, "$tokens\n")
        }
    }

    private suspend fun respondReadiness(exchange: HttpExchange) {
        val readiness = readiness()
        respondText(exchange, if (readiness == Readiness.READY) OK else UNAVAILABLE, readiness.name.lowercase() + "\n")
    }

    private fun isAuthorized(exchange: HttpExchange): Boolean {
        val given = exchange.head.headers["Authorization"] ?: return false
        return MessageDigest.isEqual(given.encodeToByteArray(), "Bearer $key".encodeToByteArray())
    }

    private suspend fun respondText(
        exchange: HttpExchange,
        status: Int,
        body: String,
    ) = respond(exchange, status, "text/plain; charset=utf-8", body)

    private suspend fun respond(
        exchange: HttpExchange,
        status: Int,
        type: String,
        body: String,
    ) = exchange.respond(status, Headers.of("Content-Type" to type), body.encodeToByteArray())

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
        const val UNAVAILABLE = 503
        const val REQUESTS = "/requests/"
        const val SPENT = "/spent/"
        const val JSON_TYPE = "application/json"
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        val JSON = Json { prettyPrint = true }
    }
}
