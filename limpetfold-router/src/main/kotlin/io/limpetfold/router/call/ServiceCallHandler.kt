package io.limpetfold.router.call

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.limpetfold.claim.Claim
import io.limpetfold.claim.ClaimDecision
import io.limpetfold.claim.ClaimRegistry
import io.limpetfold.claim.RecordedResponse
import io.limpetfold.config.CallRule
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.Headers
import io.limpetfold.http.ResponseSink
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.request.Refusal
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.request.RequestState
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.VersionSelector
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.time.Duration

/**
 * Passes calls through to a plain service.
 *
 * A call that may not be repeated and carries an `Idempotency-Key` is claimed before it is forwarded. Without a key it is forwarded once, and
 * its duplicates are not detected.
 */
internal class ServiceCallHandler(
    private val forwarder: Forwarder,
    private val claims: ClaimRegistry,
    private val versions: VersionSelector,
) : CallHandler {
    override suspend fun handle(call: Call): CallEnd {
        val rule = call.route.callRule(call.exchange.head.method, call.exchange.head.path)
        val key = call.exchange.head.headers[KEY_HEADER]
        keyProblem(rule, key)?.let { return RefusalWriter.refuse(call, it) }
        // The body is checked first, so that a claim is not taken for a call that can't be forwarded.
        val body = RequestBody.read(call.exchange, call.route.maxRequestBytes.bytes)
        val claim =
            if (rule.isRepeatable || key == null) {
                null
            } else {
                when (val decision = decide(call, key)) {
                    is Decided.Forward -> decision.claim
                    is Decided.End -> return decision.end
                }
            }
        return forward(call, rule, claim, body)
    }

    private fun keyProblem(
        rule: CallRule,
        key: String?,
    ): Refusal.NotRun? =
        when {
            rule.isIdempotencyKeyRequired && key == null ->
                Refusal.InvalidRequest("header $KEY_HEADER is missing; send a key that is unique for each booking")
            key != null && (key.isEmpty() || key.length > MAX_KEY_CHARS) ->
                Refusal.InvalidRequest("header $KEY_HEADER must have 1 to $MAX_KEY_CHARS characters")
            else -> null
        }

    private suspend fun decide(
        call: Call,
        key: String,
    ): Decided {
        val maxWait = minOf(MAX_CLAIM_WAIT, call.remaining())
        val decision =
            claims
                .claim(call.workspace.workspace, call.route.route, key, call.request, maxWait)
                .getOrElse { return Decided.End(RefusalWriter.refuse(call, it.toRefusal())) }
        return when (decision) {
            is ClaimDecision.Granted -> Decided.Forward(decision.claim)
            is ClaimDecision.Finished -> Decided.End(replay(call, decision))
            is ClaimDecision.Unfinished -> Decided.End(RefusalWriter.refuse(call, decision.toRefusal()))
        }
    }

    private suspend fun replay(
        call: Call,
        decision: ClaimDecision.Finished,
    ): CallEnd {
        val body = decision.outcome.body ?: return RefusalWriter.refuse(call, decision.toRefusal())
        call.trace.add("recorded answer replayed status=${decision.outcome.status}")
        val headers =
            Headers.of(
                "Content-Type" to decision.outcome.contentType,
                REQUEST_HEADER to call.request.value,
                "X-Limpetfold-Replayed" to "true",
            )
        call.exchange.respond(decision.outcome.status, headers, body.encodeToByteArray())
        return CallEnd.Answered(decision.outcome.status)
    }

    private suspend fun forward(
        call: Call,
        rule: CallRule,
        claim: Claim?,
        body: RequestBody,
    ): CallEnd {
        val reserved =
            RequestLifecycle.next(
                RequestLifecycle.admit(call.workspace.workspace, call.request),
                RequestEvent.Reserve,
            )
        var isForwarded = false
        var hasEnded = false
        val result =
            try {
                forwarder.forward(
                    call,
                    reserved,
                    isIdempotent = rule.isRepeatable,
                    isBodyReusable = { body.isReusable },
                    beforeSend = {
                        // A retry after a proof of not starting goes out under the claim that was forwarded before.
                        val mayForward = isForwarded || claim == null || claim.tryMarkForwarded()
                        isForwarded = isForwarded || mayForward
                        if (mayForward) null else Refusal.ClaimUnavailable("the claim is too old to be used", null)
                    },
                    prepare = { upstreamRequest(call, body) },
                )
                    .also { hasEnded = true }
            } finally {
                if (!hasEnded && claim != null && !isForwarded) claims.release(claim)
            }
        return when (result) {
            is ForwardResult.Answering -> passOn(call, claim, result)
            is ForwardResult.Ended -> {
                val isProven = result.state is RequestState.Refused
                if (claim != null && isProven) claims.release(claim, isProvenNotStarted = true)
                RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(result.state)) { "an ended request has a refusal" })
            }
        }
    }

    private fun upstreamRequest(
        call: Call,
        body: RequestBody,
    ): UpstreamRequest {
        val headers =
            call.exchange.head.headers
                .withoutHopByHop()
                .without("Authorization", "Host")
                .with(REQUEST_HEADER, call.upstreamIdentity)
                .with("X-Limpetfold-Workspace", call.workspace.workspace.value)
        return UpstreamRequest(
            call.exchange.head.method,
            call.exchange.head.target,
            headers,
            body.toUpstream(),
            firstByteTimeout = minOf(call.route.idleTimeout, call.remaining()),
            idleTimeout = call.route.idleTimeout,
        )
    }

    private suspend fun passOn(
        call: Call,
        claim: Claim?,
        result: ForwardResult.Answering,
    ): CallEnd {
        val firstByte = elapsed(call)
        val outcome =
            try {
                if (claim == null) stream(call, result) else answerClaimed(call, claim, result)
            } catch (e: CallerDisconnectedException) {
                // The endpoint answered; that its caller left says nothing about the endpoint.
                result.attempt.permit.release(EndpointOutcome.Ignored)
                versions.cancel(result.attempt.choice, wasSent = true)
                throw e
            } finally {
                result.answer.close()
            }
        val isServerError = result.answer.head.status >= FIRST_SERVER_ERROR
        val hasFailed = outcome !is CallEnd.Answered || isServerError
        result.attempt.permit.release(
            if (hasFailed) EndpointOutcome.Failed else EndpointOutcome.Answered(firstByte),
        )
        versions.record(result.attempt.choice, VersionObservation(isSuccess = !hasFailed, latency = elapsed(call)))
        if (!hasFailed) forwarder.succeeded(call)
        return outcome
    }

    private suspend fun stream(
        call: Call,
        result: ForwardResult.Answering,
    ): CallEnd {
        val answer = result.answer
        val first =
            answer.next().getOrElse {
                val lost = RequestLifecycle.next(result.state, RequestEvent.UpstreamLost)
                return RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(lost)))
            }
        val sink = call.exchange.respondStream(answer.head.status, answerHeaders(call, answer))
        val failure = withTimeoutOrNull(call.remaining().toMillis()) { pump(first, answer, sink) } ?: "the request exceeded the time limit of its route"
        if (failure.isNotEmpty()) {
            // The caller must not take a truncated answer for a whole one, so its connection is cut.
            sink.abort()
            return CallEnd.Broken(failure)
        }
        sink.finish()
        return CallEnd.Answered(answer.head.status)
    }

    /** Passes the answer on from its piece [first]; returns why it broke, or an empty text. */
    private suspend fun pump(
        first: ByteArray?,
        answer: UpstreamResponse,
        sink: ResponseSink,
    ): String {
        var piece = first
        while (piece != null) {
            sink.write(piece)
            piece = answer.next().getOrElse { return it.message }
        }
        return ""
    }

    /** Records the outcome before the caller sees it, so that a retry finds it even when this router stops right after the answer. */
    private suspend fun answerClaimed(
        call: Call,
        claim: Claim,
        result: ForwardResult.Answering,
    ): CallEnd {
        val answer = result.answer
        val body =
            answer.readAll(MAX_CLAIMED_ANSWER_BYTES).getOrElse {
                val lost = RequestLifecycle.next(result.state, RequestEvent.UpstreamLost)
                return RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(lost)))
            }
        val contentType = answer.head.headers["Content-Type"] ?: "application/json"
        val recorded = RecordedResponse(answer.head.status, contentType, body.decodeToString())
        claims.complete(claim, recorded).onFailure {
            LOGGER.warn("router: the outcome of a claim was not recorded request={} cause=\"{}\"", call.request, it.message)
        }
        call.exchange.respond(answer.head.status, answerHeaders(call, answer), body)
        return CallEnd.Answered(answer.head.status)
    }

    private fun answerHeaders(
        call: Call,
        answer: UpstreamResponse,
    ): Headers = answer.head.headers.withoutHopByHop().without("X-Draining").with(REQUEST_HEADER, call.request.value)


    private fun elapsed(call: Call): Duration = Duration.ofNanos(call.arrived.elapsedNow().inWholeNanoseconds)

    private sealed interface Decided {
        class Forward(
            val claim: Claim,
        ) : Decided

        class End(
            val end: CallEnd,
        ) : Decided
    }

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val REQUEST_HEADER = "X-Request-Id"
        const val MAX_KEY_CHARS = 200
        const val FIRST_SERVER_ERROR = 500

        /** Answers to bookings are short; a longer one is refused as failed upstream instead of being held in memory. */
        const val MAX_CLAIMED_ANSWER_BYTES = 1024 * 1024
        val MAX_CLAIM_WAIT: Duration = Duration.ofSeconds(5)
        val LOGGER = LoggerFactory.getLogger(ServiceCallHandler::class.java)
    }
}
