package io.limpetfold.router.call

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.RequestId
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.request.Refusal
import io.limpetfold.router.observe.CallObserver
import io.limpetfold.router.observe.RequestTrace
import org.slf4j.LoggerFactory
import org.slf4j.MDC
import java.time.Duration
import java.time.InstantSource
import java.util.UUID
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Authenticates callers, finds the route of each request and hands the call to the handler of its kind of service. */
internal class CallerRequestHandler(
    private val config: () -> FleetConfig?,
    private val isDraining: () -> Boolean,
    private val models: CallHandler,
    private val services: CallHandler,
    private val observer: CallObserver,
    private val clock: InstantSource,
    private val monotonic: TimeSource,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        when (val admitted = admit(exchange)) {
            is Admission.Refused -> {
                observer.refusedEarly(admitted.refusal)
                RefusalWriter.write(exchange, admitted.refusal, admitted.request)
            }
            is Admission.Accepted -> run(admitted.call)
        }
    }

    private fun admit(exchange: HttpExchange): Admission {
        val given = exchange.head.headers[REQUEST_HEADER]
        val request = given?.takeIf(IDENTITY::matches)?.let(::RequestId)
        val config = config() ?: return Admission.Refused(NO_CONFIGURATION, request)
        if (isDraining()) return Admission.Refused(Refusal.Draining(RETRY_AFTER), request)
        if (exchange.isProcessBufferFull) return Admission.Refused(Refusal.RouterOverloaded("buffered bytes", RETRY_AFTER), request)
        val key = bearerKey(exchange)
        val workspace = key?.let(config::workspaceByKey) ?: return Admission.Refused(Refusal.Unauthenticated, request)
        val path = exchange.head.path
        val route = config.routeFor(path) ?: return Admission.Refused(Refusal.UnknownRoute(path), request)
        if (given != null && request == null) return Admission.Refused(INVALID_IDENTITY, null)
        return Admission.Accepted(call(exchange, config, workspace, route, request))
    }

    private fun call(
        exchange: HttpExchange,
        config: FleetConfig,
        workspace: WorkspaceConfig,
        route: RouteConfig,
        given: RequestId?,
    ): Call {
        val request = given ?: RequestId(UUID.randomUUID().toString())
        val arrived = monotonic.markNow()
        val timeout = minOf(route.requestTimeout, MAX_REQUEST_DURATION)
        return Call(
            exchange,
            workspace,
            route,
            checkNotNull(config.service(route.service)) { "a valid configuration has the service of each route" },
            request,
            isCallerIdentity = given != null,
            config.publication?.publishedAt?.toEpochMilli() ?: 0,
            arrived,
            arrived + timeout.toKotlinDuration(),
            RequestTrace(workspace.workspace, request, route.route, clock.instant(), arrived),
        )
    }

    private suspend fun run(call: Call) {
        observer.started(call)
        val end =
            try {
                when (call.service.kind) {
                    ServiceKind.MODEL -> models.handle(call)
                    ServiceKind.PLAIN -> services.handle(call)
                }
            } catch (_: CallerDisconnectedException) {
                CallEnd.Cancelled
            }
        observer.ended(call, end)
        log(call, end)
    }

    private fun log(
        call: Call,
        end: CallEnd,
    ) {
        MDC.putCloseable("request", call.request.value).use {
            val elapsedMillis = call.arrived.elapsedNow().inWholeMilliseconds
            when (end) {
                is CallEnd.Answered ->
                    LOGGER.info(
                        "router: answered route={} workspace={} status={} tokens={} elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        end.status,
                        end.usedTokens,
                        elapsedMillis,
                    )
                is CallEnd.Refused ->
                    LOGGER.info(
                        "router: refused route={} workspace={} type={} ran={} elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        end.refusal.type,
                        end.refusal.ran.wireName,
                        elapsedMillis,
                    )
                is CallEnd.Broken ->
                    LOGGER.warn(
                        "router: answer broken route={} workspace={} cause=\"{}\" elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        end.reason,
                        elapsedMillis,
                    )
                CallEnd.Cancelled ->
                    LOGGER.info(
                        "router: caller gone route={} workspace={} elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        elapsedMillis,
                    )
            }
        }
    }

    private fun bearerKey(exchange: HttpExchange): String? {
        val value = exchange.head.headers["Authorization"] ?: return null
        return if (value.startsWith(BEARER, ignoreCase = true)) value.substring(BEARER.length).trim() else null
    }

    private sealed interface Admission {
        class Accepted(
            val call: Call,
        ) : Admission

        class Refused(
            val refusal: Refusal,
            val request: RequestId?,
        ) : Admission
    }

    companion object {
        /**
         * The longest time that a request may hold an endpoint's slot. The endpoint limiter counts on it when a seat passes to another
         * router, so it bounds the request timeout of every route.
         */
        val MAX_REQUEST_DURATION: Duration = Duration.ofMinutes(2)
        private const val REQUEST_HEADER = "X-Request-Id"
        private const val BEARER = "Bearer "
        private val IDENTITY = Regex("[A-Za-z0-9._-]{1,100}")
        private val RETRY_AFTER: Duration = Duration.ofSeconds(1)
        private val INVALID_IDENTITY =
            Refusal.InvalidRequest("header $REQUEST_HEADER must have 1 to 100 letters, digits, '.', '_' or '-'")
        private val NO_CONFIGURATION = Refusal.RouterOverloaded("its start: no configuration has arrived yet", RETRY_AFTER)
        private val LOGGER = LoggerFactory.getLogger(CallerRequestHandler::class.java)
    }
}
