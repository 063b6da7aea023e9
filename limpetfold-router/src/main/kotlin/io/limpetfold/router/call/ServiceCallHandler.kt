package io.limpetfold.router.call

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.limpetfold.claim.Claim
import io.limpetfold.claim.ClaimDecision
import io.limpetfold.claim.ClaimRegistry
import io.limpetfold.claim.RecordedResponse
import io.limpetfold.config.CallRule
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
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.time.Duration

/**
 * Forwards calls to a plain service.
 *
 * A call that is not idempotent and carries an `Idempotency-Key` is claimed before it is forwarded. Without a key it is
 * forwarded once, and duplicates of it are not detected.
 */
internal class ServiceCallHandler(
    private val forwarder: Forwarder,
    private val claims: ClaimRegistry,
) : CallHandler {
    override suspend fun handle(call: Call): CallEnd {
        val rule = call.route.callRule(call.exchange.head.method, call.exchange.head.path)
        val key = call.exchange.head.headers[KEY_HEADER]
        keyRefusal(rule, key)?.let { return RefusalWriter.refuse(call, it) }
        // The body is checked first, so that no claim is made for a call that can't be forwarded.
        val body = RequestBody.read(call.exchange, call.route.maxRequestBytes.bytes)
        val claim =
            if (rule.isRepeatable || key == null) {
                null
            } else {
                when (val acquired = acquireClaim(call, key)) {
                    is ClaimResult.Acquired -> acquired.claim
                    is ClaimResult.Ended -> return acquired.end
                }
            }
        return forward(call, rule, claim, body)
    }

    private fun keyRefusal(
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

    private suspend fun acquireClaim(
        call: Call,
        key: String,
    ): ClaimResult {
        val maxWait = minOf(MAX_CLAIM_WAIT, call.remainingTime())
        val decision =
            claims
                .claim(call.workspace.workspace, call.route.route, key, call.request, maxWait)
                .getOrElse { return ClaimResult.Ended(RefusalWriter.refuse(call, it.toRefusal())) }
        return when (decision) {
            is ClaimDecision.Granted -> ClaimResult.Acquired(decision.claim)
            is ClaimDecision.Finished -> ClaimResult.Ended(replay(call, decision))
            is ClaimDecision.Unfinished -> ClaimResult.Ended(RefusalWriter.refuse(call, decision.toRefusal()))
        }
    }

    private suspend fun replay(
        call: Call,
        decision: ClaimDecision.Finished,
    ): CallEnd {
        val body = decision.response.body ?: return RefusalWriter.refuse(call, decision.toRefusal())
        call.trace.add("recorded answer replayed status=${decision.response.status}")
        val headers =
            Headers.of(
                "Content-Type" to decision.response.contentType,
                REQUEST_HEADER to call.request.value,
                "X-Limpetfold-Replayed" to "true",
            )
        call.exchange.respond(decision.response.status, headers, body.encodeToByteArray())
        return CallEnd.Answered(decision.response.status)
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
                forwarder
                    .forward(
                        call,
                        reserved,
                        isIdempotent = rule.isRepeatable,
                        isBodyReusable = { body.isReusable },
                        beforeSend = {
                            // A retry after proof that the endpoint did not start reuses the claim, which is marked as
                            // forwarded already.
                            val mayForward = isForwarded || claim == null || claim.tryMarkForwarded()
                            isForwarded = isForwarded || mayForward
                            if (mayForward) null else Refusal.ClaimUnavailable("the claim is too old to be used", null)
                        },
                        buildRequest = { upstreamRequest(call, body) },
                    ).also { hasEnded = true }
            } finally {
                if (!hasEnded && claim != null && !isForwarded) claims.release(claim)
            }
        return when (result) {
            is ForwardResult.Responding -> relay(call, claim, result)
            is ForwardResult.NoResponse -> {
                val isProven = result.state is RequestState.Refused
                if (claim != null && isProven) claims.release(claim, isProvenNotStarted = true)
                RefusalWriter.refuse(
                    call,
                    checkNotNull(RequestLifecycle.refusal(result.state)) { "an ended request has a refusal" },
                )
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
                .with(REQUEST_HEADER, call.upstreamRequestId)
                .with("X-Limpetfold-Workspace", call.workspace.workspace.value)
        return UpstreamRequest(
            call.exchange.head.method,
            call.exchange.head.target,
            headers,
            body.toUpstream(),
            firstByteTimeout = minOf(call.route.idleTimeout, call.remainingTime()),
            idleTimeout = call.route.idleTimeout,
        )
    }

    private suspend fun relay(
        call: Call,
        claim: Claim?,
        result: ForwardResult.Responding,
    ): CallEnd {
        val firstByte = elapsed(call)
        val outcome =
            try {
                if (claim == null) relayStream(call, result) else respondToClaimed(call, claim, result)
            } finally {
                result.response.close()
            }
        val isServerError = result.response.head.status >= FIRST_SERVER_ERROR
        val hasFailed = outcome !is CallEnd.Answered || isServerError
        result.attempt.resources.release(
            if (hasFailed) EndpointOutcome.Failed else EndpointOutcome.Responded(firstByte),
            VersionObservation(isSuccess = !hasFailed, latency = elapsed(call)),
        )
        if (!hasFailed) forwarder.recordSuccess(call)
        return outcome
    }

    private suspend fun relayStream(
        call: Call,
        result: ForwardResult.Responding,
    ): CallEnd {
        val response = result.response
        val first =
            response.next().getOrElse {
                val lost = RequestLifecycle.next(result.state, RequestEvent.UpstreamLost)
                return RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(lost)))
            }
        val sink = call.exchange.respondStream(response.head.status, responseHeaders(call, response))
        val failure =
            withTimeoutOrNull(call.remainingTime().toMillis()) { copyBody(first, response, sink) }
                ?: "the request exceeded the time limit of its route"
        if (failure.isNotEmpty()) {
            // The connection is cut, so that the caller can't take a truncated response for a complete one.
            sink.abort()
            return CallEnd.Broken(failure)
        }
        sink.finish()
        return CallEnd.Answered(response.head.status)
    }

    /** Copies the response body, beginning with its chunk [first]; returns why it broke, or an empty string. */
    private suspend fun copyBody(
        first: ByteArray?,
        response: UpstreamResponse,
        sink: ResponseSink,
    ): String {
        var chunk = first
        while (chunk != null) {
            sink.write(chunk)
            chunk = response.next().getOrElse { return it.message }
        }
        return ""
    }

    /**
     * Records the response before it is sent, so that a retry finds it even when this router stops right after sending
     * it.
     */
    private suspend fun respondToClaimed(
        call: Call,
        claim: Claim,
        result: ForwardResult.Responding,
    ): CallEnd {
        val response = result.response
        val body =
            response.readAll(MAX_CLAIMED_RESPONSE_BYTES).getOrElse {
                val lost = RequestLifecycle.next(result.state, RequestEvent.UpstreamLost)
                return RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(lost)))
            }
        val contentType = response.head.headers["Content-Type"] ?: "application/json"
        val recorded = RecordedResponse(response.head.status, contentType, body.decodeToString())
        claims.complete(claim, recorded).onFailure {
            LOGGER.warn(
                "router: the outcome of a claim was not recorded request={} cause=\"{}\"",
                call.request,
                it.message,
            )
        }
        call.exchange.respond(response.head.status, responseHeaders(call, response), body)
        return CallEnd.Answered(response.head.status)
    }

    private fun responseHeaders(
        call: Call,
        response: UpstreamResponse,
    ): Headers =
        response.head.headers
            .withoutHopByHop()
            .without("X-Draining")
            .with(REQUEST_HEADER, call.request.value)

    private fun elapsed(call: Call): Duration = Duration.ofNanos(call.arrivedAt.elapsedNow().inWholeNanoseconds)

    private sealed interface ClaimResult {
        class Acquired(
            val claim: Claim,
        ) : ClaimResult

        class Ended(
            val end: CallEnd,
        ) : ClaimResult
    }

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val REQUEST_HEADER = "X-Request-Id"
        const val MAX_KEY_CHARS = 200
        const val FIRST_SERVER_ERROR = 500

        /**
         * Responses to claimed calls are short; a longer one counts as an upstream failure instead of being held in
         * memory.
         */
        const val MAX_CLAIMED_RESPONSE_BYTES = 1024 * 1024
        val MAX_CLAIM_WAIT: Duration = Duration.ofSeconds(5)
        val LOGGER = LoggerFactory.getLogger(ServiceCallHandler::class.java)
    }
}
