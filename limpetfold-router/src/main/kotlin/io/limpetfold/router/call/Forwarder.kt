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
import io.limpetfold.rollout.VersionSelector
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Sends a request to endpoints until one answers, within the rules on repetition. */
internal class Forwarder(
    private val access: EndpointAccess,
    private val upstream: UpstreamClient,
    private val limiter: EndpointLimiter,
    private val versions: VersionSelector,
    private val monotonic: TimeSource,
) {
    private val retryBudgets = ConcurrentHashMap<RouteId, RetryBudget>()

    /**
     * Forwards [call], which is in [reserved].
     *
     * @param isIdempotent whether the request may be sent again after an unknown outcome.
     * @param isBodyReusable whether [prepare] can make the request again after an attempt read its body.
     * @param beforeSend runs when a slot was found and before the first byte is written; a refusal ends the request as not run.
     */
    suspend fun forward(
        call: Call,
        reserved: RequestState,
        isIdempotent: Boolean,
        isBodyReusable: () -> Boolean,
        beforeSend: suspend (Attempt) -> Refusal.NotRun?,
        prepare: (Attempt) -> UpstreamRequest,
    ): ForwardResult {
        val policy = RetryPolicy(call.route.retries.maxAttempts)
        val tried = mutableSetOf<EndpointId>()
        var state = reserved
        while (true) {
            val attempt =
                access.acquire(call, tried).getOrElse { return ForwardResult.Ended(refuse(state, it)) }
            val refusal = beforeSend(attempt)
            if (refusal != null) {
                cancel(attempt)
                return ForwardResult.Ended(refuse(state, refusal))
            }
            tried += attempt.endpoint
            state = RequestLifecycle.next(state, RequestEvent.Send(attempt.endpoint))
            call.trace.add("sent endpoint=${attempt.endpoint} version=${attempt.version} attempt=${tried.size}")
            val outcome = send(call, attempt, prepare(attempt))
            if (outcome is SendOutcome.Answer) {
                val answering = RequestLifecycle.next(state, RequestEvent.AnswerBegan)
                return ForwardResult.Answering(answering, attempt, outcome.answer)
            }
            state = RequestLifecycle.next(state, event(outcome))
            call.trace.add("attempt ended endpoint=${attempt.endpoint} outcome=${outcome.description}")
            val canRepeat = policy.canRetry(state, isIdempotent) && isBodyReusable() && !call.deadline.hasPassedNow()
            if (!canRepeat || !retryBudget(call).tryAcquire()) {
                val last = if (state is RequestState.Reserved) Refusal.EndpointRefused(attempt.endpoint, RETRY_AFTER) else null
                return ForwardResult.Ended(if (last == null) state else refuse(state, last))
            }
        }
    }

    /** Counts a request that was answered, from which retries are earned. */
    fun succeeded(call: Call) = retryBudget(call).onSuccess()

    private suspend fun send(
        call: Call,
        attempt: Attempt,
        request: UpstreamRequest,
    ): SendOutcome {
        val sentAt = monotonic.markNow()
        return upstream.send(attempt.address, request).fold(
            success = { answer -> judge(call, attempt, answer) },
            failure = { error ->
                release(attempt, error, Duration.ofNanos(sentAt.elapsedNow().inWholeNanoseconds))
                when (error) {
                    is UpstreamError.NotSent -> SendOutcome.NotStarted(NotStartedProof.NOTHING_WRITTEN, error.message)
                    else -> SendOutcome.Lost(error.message)
                }
            },
        )
    }

    private fun judge(
        call: Call,
        attempt: Attempt,
        answer: UpstreamResponse,
    ): SendOutcome {
        if (answer.head.headers[DRAINING_HEADER] == "true") {
            limiter.observe(attempt.endpoint, EndpointSignal.Draining)
            call.trace.add("endpoint drains endpoint=${attempt.endpoint}")
        }
        if (!answer.head.provesNotStarted()) return SendOutcome.Answer(answer)
        answer.close()
        attempt.permit.release(EndpointOutcome.Overloaded)
        versions.cancel(attempt.choice, wasSent = true)
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
            -> cancel(attempt)
            else -> {
                attempt.permit.release(EndpointOutcome.Failed)
                versions.record(attempt.choice, VersionObservation(isSuccess = false, latency = waited))
            }
        }
    }

    private fun cancel(attempt: Attempt) {
        attempt.permit.release(EndpointOutcome.Ignored)
        versions.cancel(attempt.choice, wasSent = false)
    }

    private fun event(outcome: SendOutcome): RequestEvent =
        when (outcome) {
            is SendOutcome.Answer -> RequestEvent.AnswerBegan
            is SendOutcome.NotStarted -> RequestEvent.NotStarted(outcome.proof)
            is SendOutcome.Lost -> RequestEvent.UpstreamLost
        }

    /** A request that may have run keeps its unknown outcome; "not run" is no longer possible for it. */
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

        class Answer(
            val answer: UpstreamResponse,
        ) : SendOutcome {
            override val description get() = "answer"
        }

        class NotStarted(
            val proof: NotStartedProof,
            override val description: String,
        ) : SendOutcome

        class Lost(
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
