package io.limpetfold.request

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import java.time.Duration
import java.time.Instant

/**
 * Why a request got no regular response.
 *
 * Creating a refusal sends nothing: the caller receives only the refusal that [RequestLifecycle] put into
 * [RequestState.Refused] or [RequestState.Unknown].
 *
 * @property ran whether an endpoint acted on the request.
 * @property type the stable machine-readable name in the response.
 * @property status the HTTP status of the response.
 * @property remedy what the caller or operator can do.
 * @property retryAfter how long to wait before a retry, or null when waiting alone does not help.
 */
sealed interface Refusal {
    val ran: Ran
    val type: String
    val status: Int
    val message: String
    val remedy: String
    val retryAfter: Duration?

    /** A refusal that is valid only if each endpoint that was sent the request is proven not to have started it. */
    sealed interface NotRun : Refusal {
        override val ran: Ran get() = Ran.NO
    }

    /** A refusal of a request that was sent to an endpoint, or whose idempotency key was used before. */
    sealed interface MayHaveRun : Refusal

    /** The API key is missing or matches no workspace. */
    data object Unauthenticated : NotRun {
        override val type get() = "unauthenticated"
        override val status get() = 401
        override val message get() = "the request carries no valid key"
        override val remedy get() = "send Authorization: Bearer with a key of the workspace"
        override val retryAfter: Duration? get() = null
    }

    /** No route matches the request. */
    data class UnknownRoute(
        val path: String,
    ) : NotRun {
        override val type get() = "unknown_route"
        override val status get() = 404
        override val message get() = "no route matches the path"
        override val remedy get() = "check the path against the configured routes"
        override val retryAfter: Duration? get() = null
    }

    /** The request is malformed; [reason] names the error without quoting the body. */
    data class InvalidRequest(
        val reason: String,
        override val status: Int = 400,
    ) : NotRun {
        override val type get() = "invalid_request"
        override val message get() = "the request is invalid: $reason"
        override val remedy get() = "correct the request and send it again"
        override val retryAfter: Duration? get() = null
    }

    /** The remaining budget of the workspace does not cover the request. */
    data class BudgetExhausted(
        val workspace: WorkspaceId,
        override val retryAfter: Duration? = null,
    ) : NotRun {
        override val type get() = "budget_exhausted"
        override val status get() = 402
        override val message get() = "the prepaid budget of workspace $workspace does not cover the request"
        override val remedy get() = "top up the budget or lower the output limit"
    }

    /** No tokens could be reserved in time, although the budget may have some left. */
    data class BudgetUnavailable(
        val workspace: WorkspaceId,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "budget_unavailable"
        override val status get() = 503
        override val message get() = "tokens of workspace $workspace could not be reserved in time"
        override val remedy get() = "retry; the platform or the peers that hold the tokens are unreachable"
    }

    /** All endpoints of the route stayed at their capacity limit until the deadline. */
    data class EndpointCapacity(
        val route: RouteId,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "endpoint_capacity"
        override val status get() = 503
        override val message get() = "the endpoints of route $route stayed at their limit until the deadline"
        override val remedy get() = "retry later, or add endpoints if this persists"
    }

    /** No endpoint of the route is in rotation. */
    data class NoEndpoint(
        val route: RouteId,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "no_endpoint"
        override val status get() = 503
        override val message get() = "route $route has no usable endpoint"
        override val remedy get() = "check that endpoints of the active version are running"
    }

    /** The router reached one of its own limits, such as that of buffered bytes. */
    data class RouterOverloaded(
        val bound: String,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "router_overloaded"
        override val status get() = 503
        override val message get() = "the router reached its bound of $bound"
        override val remedy get() = "retry; another router may have room"
    }

    /** The router is shutting down and accepts no new requests. */
    data class Draining(
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "draining"
        override val status get() = 503
        override val message get() = "the router is stopping"
        override val remedy get() = "retry on a new connection"
    }

    /** The workspace exceeds its request rate. */
    data class RateExceeded(
        val workspace: WorkspaceId,
        override val retryAfter: Duration,
    ) : NotRun {
        override val type get() = "rate_exceeded"
        override val status get() = 429
        override val message get() = "workspace $workspace exceeds its request rate"
        override val remedy get() = "send requests more slowly"
    }

    /** The endpoint is proven not to have started the request, and no attempt was left. */
    data class EndpointRefused(
        val endpoint: EndpointId,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "endpoint_refused"
        override val status get() = 503
        override val message get() = "endpoint $endpoint did not start the request"
        override val remedy get() = "retry; another endpoint may take it"
    }

    /** The idempotency key could not be claimed, so the request was not forwarded. */
    data class ClaimUnavailable(
        val reason: String,
        override val retryAfter: Duration?,
    ) : NotRun {
        override val type get() = "claim_unavailable"
        override val status get() = 503
        override val message get() = "the idempotency key could not be claimed: $reason"
        override val remedy get() = "retry with the same key"
    }

    /** An earlier call with the same key has no recorded response; this call was not forwarded. */
    data class DuplicateUnfinished(
        val claimedAt: Instant,
        override val retryAfter: Duration?,
    ) : MayHaveRun {
        override val ran get() = Ran.UNKNOWN
        override val type get() = "duplicate_unfinished"
        override val status get() = 409
        override val message get() = "a call with this key was made at $claimedAt and its outcome is not recorded"
        override val remedy get() = "ask the service for the effect of the key before using a new key"
    }

    /** An earlier call with the same key completed with [recordedStatus], and its body was not kept. */
    data class DuplicateFinished(
        val recordedStatus: Int,
    ) : MayHaveRun {
        override val ran get() = Ran.YES
        override val type get() = "duplicate_finished"
        override val status get() = 409
        override val message get() = "a call with this key ended with status $recordedStatus; its body was not kept"
        override val remedy get() = "read the result from the service"
        override val retryAfter: Duration? get() = null
    }

    /** The endpoint began to respond and failed before the end of its response. */
    data class UpstreamFailed(
        val endpoint: EndpointId,
        val request: RequestId,
    ) : MayHaveRun {
        override val ran get() = Ran.YES
        override val type get() = "upstream_failed"
        override val status get() = 502
        override val message get() = "endpoint $endpoint failed while it answered request $request"
        override val remedy get() = "retry with the same X-Request-Id if the call may be repeated"
        override val retryAfter: Duration? get() = null
    }

    /** The request was sent to an endpoint and its outcome is unknown. */
    data class UnknownOutcome(
        val endpoint: EndpointId,
        val request: RequestId,
    ) : MayHaveRun {
        override val ran get() = Ran.UNKNOWN
        override val type get() = "unknown_outcome"
        override val status get() = 504
        override val message get() = "no answer to request $request came from endpoint $endpoint"
        override val remedy get() = "check for the request's effect before sending it again"
        override val retryAfter: Duration? get() = null
    }
}
