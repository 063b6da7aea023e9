package io.limpetfold.router.call

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.RequestId
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.RequestBodyException
import io.limpetfold.http.RequestHead
import io.limpetfold.request.Refusal
import io.limpetfold.router.observe.CallObserver
import io.limpetfold.router.observe.RequestTrace
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory
import org.slf4j.MDC
import java.time.Duration
import java.time.InstantSource
import java.util.UUID
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Authenticates callers, finds the route of each request and passes the call to the handler of its kind of service. */
internal class CallerRequestHandler(
    private val config: () -> FleetConfig?,
    private val isDraining: () -> Boolean,
    private val modelHandler: CallHandler,
    private val serviceHandler: CallHandler,
    private val observer: CallObserver,
    private val clock: InstantSource,
    private val monotonic: TimeSource,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        when (val admitted = admit(exchange)) {
            is Admission.Refused -> {
                observer.onRefusedAtAdmission(admitted.refusal)
                RefusalWriter.write(exchange, admitted.refusal, admitted.request)
            }
            is Admission.Accepted -> serve(admitted.call)
        }
    }

    private fun admit(exchange: HttpExchange): Admission {
        val headerValue = exchange.head.headers[REQUEST_HEADER]
        val request = headerValue?.takeIf(REQUEST_ID_PATTERN::matches)?.let(::RequestId)
        val config = config() ?: return Admission.Refused(NO_CONFIGURATION, request)
        if (isDraining()) return Admission.Refused(Refusal.Draining(RETRY_AFTER), request)
        if (exchange.isProcessBufferFull) {
            return Admission.Refused(
                Refusal.RouterOverloaded("buffered bytes", RETRY_AFTER),
                request,
            )
        }
        val key = bearerKey(exchange)
        val workspace = key?.let(config::workspaceByKey) ?: return Admission.Refused(Refusal.Unauthenticated, request)
        val path = exchange.head.path
        val route = config.routeFor(path) ?: return Admission.Refused(Refusal.UnknownRoute(path), request)
        if (isAmbiguous(config, route, exchange.head)) return Admission.Refused(AMBIGUOUS_PATH, request)
        if (headerValue != null && request == null) return Admission.Refused(INVALID_REQUEST_ID, null)
        return Admission.Accepted(createCall(exchange, config, workspace, route, request))
    }

    /** Whether a later program that decodes the path or drops its empty segments would treat the call otherwise. */
    private fun isAmbiguous(
        config: FleetConfig,
        route: RouteConfig,
        head: RequestHead,
    ): Boolean {
        val path = head.path
        val lenientPath = head.lenientPath
        if (lenientPath == path) return false
        val lenientRoute = config.routeFor(lenientPath) ?: return false
        val rule = route.callRule(head.method, path)
        val lenientRule = lenientRoute.callRule(head.method, lenientPath)
        return lenientRoute != route ||
            lenientRule.isRepeatable != rule.isRepeatable ||
            lenientRule.isIdempotencyKeyRequired != rule.isIdempotencyKeyRequired
    }

    private fun createCall(
        exchange: HttpExchange,
        config: FleetConfig,
        workspace: WorkspaceConfig,
        route: RouteConfig,
        callerRequest: RequestId?,
    ): Call {
        val request = callerRequest ?: RequestId(UUID.randomUUID().toString())
        val arrivedAt = monotonic.markNow()
        val timeout = minOf(route.requestTimeout, MAX_REQUEST_DURATION)
        return Call(
            exchange,
            workspace,
            route,
            checkNotNull(config.service(route.service)) { "a valid configuration contains the service of each route" },
            request,
            isRequestIdFromCaller = callerRequest != null,
            config.publication?.publishedAt?.toEpochMilli() ?: 0,
            arrivedAt,
            arrivedAt + timeout.toKotlinDuration(),
            RequestTrace(workspace.workspace, request, route.route, clock.instant(), arrivedAt),
        )
    }

    private suspend fun serve(call: Call) {
        observer.onStarted(call)
        val end =
            try {
                call.resources.use { handlerOf(call).handle(call) }
            } catch (_: CallerDisconnectedException) {
                CallEnd.Cancelled
            } catch (e: Exception) {
                // The server answers the caller; without this the request would count as running forever.
                onEnded(call, endOf(e))
                throw e
            }
        onEnded(call, end)
    }

    private fun endOf(cause: Exception): CallEnd =
        when (cause) {
            is CancellationException -> CallEnd.Cancelled
            is RequestBodyException -> CallEnd.Refused(Refusal.InvalidRequest(cause.message, cause.status))
            else -> CallEnd.Broken("the handler failed: $cause")
        }

    private fun onEnded(
        call: Call,
        end: CallEnd,
    ) {
        observer.onEnded(call, end)
        logEnd(call, end)
    }

    private fun handlerOf(call: Call): CallHandler =
        when (call.service.kind) {
            ServiceKind.MODEL -> modelHandler
            ServiceKind.PLAIN -> serviceHandler
        }

    private fun logEnd(
        call: Call,
        end: CallEnd,
    ) {
        MDC.putCloseable("request", call.request.value).use {
            val elapsedMillis = call.arrivedAt.elapsedNow().inWholeMilliseconds
            when (end) {
                is CallEnd.Answered ->
                    LOGGER.info(
                        "router: answered route={} workspace={} status={} tokens={} elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        end.status,
                        end.chargedTokens,
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
                        "router: response broken route={} workspace={} cause=\"{}\" elapsedMillis={}",
                        call.route.route,
                        call.workspace.workspace,
                        end.reason,
                        elapsedMillis,
                    )
                CallEnd.Cancelled ->
                    LOGGER.info(
                        "router: caller disconnected route={} workspace={} elapsedMillis={}",
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
         * The longest time that a request may hold a slot at an endpoint; it caps the request timeout of every route.
         * When a seat passes to another router, the endpoint limiter relies on the old requests to end within this
         * time.
         */
        val MAX_REQUEST_DURATION: Duration = Duration.ofMinutes(2)
        private const val REQUEST_HEADER = "X-Request-Id"

        /** The header fields of this interface that may stand only once in a request. */
        val SINGLE_FIELDS: Set<String> = setOf(REQUEST_HEADER, "Idempotency-Key")
        private const val BEARER = "Bearer "
        private val REQUEST_ID_PATTERN = Regex("[A-Za-z0-9._-]{1,100}")
        private val RETRY_AFTER: Duration = Duration.ofSeconds(1)
        private val INVALID_REQUEST_ID =
            Refusal.InvalidRequest("header $REQUEST_HEADER must have 1 to 100 letters, digits, '.', '_' or '-'")
        private val AMBIGUOUS_PATH =
            Refusal.InvalidRequest("the path, decoded and without empty segments, belongs to another route or call")
        private val NO_CONFIGURATION =
            Refusal.RouterOverloaded(
                "its start: no configuration has arrived yet",
                RETRY_AFTER,
            )
        private val LOGGER = LoggerFactory.getLogger(CallerRequestHandler::class.java)
    }
}
