package io.limpetfold.router.call

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.limpetfold.core.EndpointId
import io.limpetfold.core.RouteId
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.limits.EndpointSignal
import io.limpetfold.request.NotStartedProof
import io.limpetfold.request.Refusal
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.request.RequestState
import io.limpetfold.request.RetryBudget
import io.limpetfold.request.RetryBudgetPolicy
import io.limpetfold.request.RetryPolicy
import io.limpetfold.rollout.VersionObservation
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Sends a request to endpoints until one responds, within the retry policy and the retry budget of the route. */
internal class Forwarder(
    private val endpointSelector: EndpointSelector,
    private val upstream: UpstreamClient,
    private val limiter: EndpointLimiter,
    private val monotonic: TimeSource,
) {
    private val retryBudgets = ConcurrentHashMap<RouteId, RetryBudget>()

    /**
     * Forwards [call], whose lifecycle is in the state [reserved].
     *
     * @param isIdempotent whether the request may be retried after an unknown outcome.
     * @param isBodyReusable whether [buildRequest] can build the request again after an attempt has read its body.
     * @param beforeSend runs after a slot was acquired and before the first byte is sent; when it returns a refusal,
     *   the request ends as not run.
     */
    suspend fun forward(
        call: Call,
        reserved: RequestState,
        isIdempotent: Boolean,
        isBodyReusable: () -> Boolean,
        beforeSend: suspend (Attempt) -> Refusal.NotRun?,
        buildRequest: (Attempt) -> UpstreamRequest,
    ): ForwardResult {
        val policy = RetryPolicy(call.route.retries.maxAttempts)
        val triedEndpoints = mutableSetOf<EndpointId>()
        var state = reserved
        while (true) {
            val attempt =
                endpointSelector
                    .acquire(
                        call,
                        triedEndpoints,
                    ).getOrElse { return ForwardResult.NoResponse(refuse(state, it)) }
            val refusal = beforeSend(attempt)
            if (refusal != null) {
                attempt.resources.discardUnsent()
                return ForwardResult.NoResponse(refuse(state, refusal))
            }
            triedEndpoints += attempt.endpoint
            state = RequestLifecycle.next(state, RequestEvent.Send(attempt.endpoint))
            call.trace.add(
                "sent endpoint=${attempt.endpoint} version=${attempt.version} attempt=${triedEndpoints.size}",
            )
            val outcome = send(call, attempt, buildRequest(attempt))
            if (outcome is SendOutcome.Response) {
                val responding = RequestLifecycle.next(state, RequestEvent.ResponseStarted)
                return ForwardResult.Responding(responding, attempt, outcome.response)
            }
            state = RequestLifecycle.next(state, toEvent(outcome))
            call.trace.add("attempt ended endpoint=${attempt.endpoint} outcome=${outcome.description}")
            val mayRetry = policy.canRetry(state, isIdempotent) && isBodyReusable() && !call.deadline.hasPassedNow()
            if (!mayRetry || !retryBudget(call).tryAcquire()) {
                val finalRefusal =
                    if (state is RequestState.Reserved) {
                        Refusal.EndpointRefused(
                            attempt.endpoint,
                            RETRY_AFTER,
                        )
                    } else {
                        null
                    }
                return ForwardResult.NoResponse(if (finalRefusal == null) state else refuse(state, finalRefusal))
            }
        }
    }

    /** Counts a successful call; the retry budget grows with the number of successes. */
    fun recordSuccess(call: Call) = retryBudget(call).onSuccess()

    private suspend fun send(
        call: Call,
        attempt: Attempt,
        request: UpstreamRequest,
    ): SendOutcome {
        val sentAt = monotonic.markNow()
        attempt.resources.markSent()
        return upstream.send(attempt.address, request).fold(
            success = { response -> classify(call, attempt, response) },
            failure = { error ->
                release(attempt, error, Duration.ofNanos(sentAt.elapsedNow().inWholeNanoseconds))
                when (error) {
                    is UpstreamError.NotSent -> SendOutcome.NotStarted(NotStartedProof.NOTHING_WRITTEN, error.message)
                    else -> SendOutcome.OutcomeUnknown(error.message)
                }
            },
        )
    }

    private fun classify(
        call: Call,
        attempt: Attempt,
        response: UpstreamResponse,
    ): SendOutcome {
        if (response.head.headers[DRAINING_HEADER] == "true") {
            limiter.observe(attempt.endpoint, EndpointSignal.Draining)
            call.trace.add("endpoint drains endpoint=${attempt.endpoint}")
        }
        if (!response.head.provesNotStarted()) return SendOutcome.Response(response)
        response.close()
        attempt.resources.discard(EndpointOutcome.Overloaded)
        return SendOutcome.NotStarted(NotStartedProof.STATED_BY_ENDPOINT, "the endpoint did not start the request")
    }

    private fun release(
        attempt: Attempt,
        error: UpstreamError,
        waited: Duration,
    ) {
        when (error.reason) {
            UpstreamError.Reason.REFUSED, UpstreamError.Reason.CONNECT_TIMEOUT ->
                limiter.observe(attempt.endpoint, EndpointSignal.ConnectionRefused)
            else -> Unit
        }
        when (error.reason) {
            UpstreamError.Reason.POOL_CLOSED,
            UpstreamError.Reason.POOL_EXHAUSTED,
            UpstreamError.Reason.INVALID_REQUEST,
            UpstreamError.Reason.REQUEST_BODY_FAILED,
            UpstreamError.Reason.CANCELLED,
            UpstreamError.Reason.WITHDRAWN,
            -> attempt.resources.discardUnsent()
            else ->
                attempt.resources.release(
                    EndpointOutcome.Failed,
                    VersionObservation(isSuccess = false, latency = waited),
                )
        }
    }

    private fun toEvent(outcome: SendOutcome): RequestEvent =
        when (outcome) {
            is SendOutcome.Response -> RequestEvent.ResponseStarted
            is SendOutcome.NotStarted -> RequestEvent.NotStarted(outcome.proof)
            is SendOutcome.OutcomeUnknown -> RequestEvent.UpstreamLost
        }

    /**
     * Refuses a request; one that may have run keeps its unknown outcome, because it can no longer be reported as not
     * run.
     */
    private fun refuse(
        state: RequestState,
        refusal: Refusal.NotRun,
    ): RequestState =
        if (state is RequestState.Unknown) state else RequestLifecycle.next(state, RequestEvent.Refuse(refusal))

    private fun retryBudget(call: Call): RetryBudget =
        retryBudgets.computeIfAbsent(call.route.route) {
            val limits = call.route.retries
            RetryBudget(RetryBudgetPolicy(limits.shareOfSuccesses, limits.floorPerSecond), monotonic)
        }

    private fun ResponseHead.provesNotStarted(): Boolean =
        status == SERVICE_UNAVAILABLE && headers[NOT_STARTED_HEADER] == "true"

    private sealed interface SendOutcome {
        val description: String

        class Response(
            val response: UpstreamResponse,
        ) : SendOutcome {
            override val description get() = "answer"
        }

        class NotStarted(
            val proof: NotStartedProof,
            override val description: String,
        ) : SendOutcome

        class OutcomeUnknown(
            override val description: String,
        ) : SendOutcome
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val NOT_STARTED_HEADER = "X-Limpetfold-Not-Started"
        const val DRAINING_HEADER = "X-Draining"
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
    }
}
