package io.limpetfold.router.call

import com.github.michaelbull.result.getOrElse
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.PromptEstimator
import io.limpetfold.core.EndpointId
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.Headers
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.cancelOnDisconnect
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.request.Refusal
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.router.call.CallJournal.EarlierAttempt
import io.limpetfold.router.chat.ChatRequest
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.time.Duration
import java.time.InstantSource

/**
 * Serves chat-completions calls with model engines, within the prepaid budget of the workspace.
 *
 * The maximum prompt tokens and the output limit are reserved before the first byte is sent to an engine. The tokens
 * used are charged before the last part of the response is sent to the caller.
 */
internal class ModelCallHandler(
    private val forwarder: Forwarder,
    private val engineClient: EngineClient,
    private val budget: BudgetAgent,
    private val estimator: PromptEstimator,
    private val journal: CallJournal,
    private val runs: RunRegistry,
    private val bodyBuffer: RequestBodyBuffer,
    private val clock: InstantSource,
    private val backgroundScope: CoroutineScope,
) : CallHandler {
    override suspend fun handle(call: Call): CallEnd {
        if (call.exchange.head.method != "POST") {
            return RefusalWriter.refuse(call, Refusal.InvalidRequest("method must be POST", METHOD_NOT_ALLOWED))
        }
        return bodyBuffer.read(
            call.exchange,
            call.route.maxRequestBytes.bytes
                .toInt(),
        ) { serve(call, it) }
            ?: RefusalWriter.refuse(call, Refusal.RouterOverloaded("request bodies held", OVERLOADED_RETRY_AFTER))
    }

    private suspend fun serve(
        call: Call,
        body: ByteArray,
    ): CallEnd {
        val chat =
            ChatRequest.parse(body, DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT).getOrElse {
                return RefusalWriter.refuse(call, Refusal.InvalidRequest(it))
            }
        if (!call.isRequestIdFromCaller) return serveBilled(call, chat, null)
        if (!runs.beginStart(call)) return refuseUnfinished(call)
        return try {
            when (val earlier = journal.findEarlierAttempt(call)) {
                is EarlierAttempt.Unfinished -> refuseUnfinished(call)
                is EarlierAttempt.Finished -> replay(call, chat, earlier.endpoint)
                is EarlierAttempt.Resumable -> serveBilled(call, chat, earlier)
                is EarlierAttempt.None -> serveBilled(call, chat, null)
            }
        } finally {
            runs.endStart(call)
        }
    }

    private suspend fun refuseUnfinished(call: Call): CallEnd =
        RefusalWriter.refuse(call, Refusal.DuplicateUnfinished(clock.instant(), UNFINISHED_RETRY_AFTER))

    private suspend fun serveBilled(
        call: Call,
        chat: ChatRequest,
        earlier: EarlierAttempt.Resumable?,
    ): CallEnd {
        val maxPromptTokens = estimator.maxPromptTokens(chat.model, chat.promptBytes)
        val reservation =
            budget
                .reserve(call.workspace.workspace, call.request, maxPromptTokens + chat.maxTokens, maxWait(call))
                .getOrElse { return RefusalWriter.refuse(call, it.toRefusal()) }
        call.trace.add("reserved tokens=${reservation.tokens}")
        val takeovers = if (earlier == null) 0 else earlier.takeovers + 1
        val run = BillableRun(chat, reservation, TokenMeter(chat.maxTokens.toLong(), maxPromptTokens), takeovers)
        runs.add(call, run)
        return try {
            call.exchange.cancelOnDisconnect {
                run.job = coroutineContext.job
                execute(call, run, earlier?.endpoint)
            }
        } catch (e: CallerDisconnectedException) {
            withContext(NonCancellable) { onCallerDisconnected(call, run) }
            throw e
        } catch (e: CancellationException) {
            if (run.state != BillingState.HANDED_OVER) throw e
            call.trace.add("handed over to another router")
            CallEnd.Cancelled
        } finally {
            // Has no effect when the run was settled before. Otherwise it ended without using an engine or was handed
            // over.
            budget.settle(reservation, 0)
            runs.remove(call, run)
        }
    }

    /** Replays the response to a request that was billed before, from the stream that its engine still stores. */
    private suspend fun replay(
        call: Call,
        chat: ChatRequest,
        endpoint: EndpointId?,
    ): CallEnd {
        val resumed =
            endpoint?.let { engineClient.resumeEarlier(call, it) }
                ?: return RefusalWriter.refuse(call, Refusal.DuplicateFinished(OK))
        return resumed.response.use { relayAgain(call, chat, resumed) }
    }

    private suspend fun relayAgain(
        call: Call,
        chat: ChatRequest,
        resumed: EngineClient.ResumedStream,
    ): CallEnd {
        call.trace.add("answer replayed endpoint=${resumed.attempt.endpoint}")
        val meter = TokenMeter(chat.maxTokens.toLong(), estimator.maxPromptTokens(chat.model, chat.promptBytes))
        val result = ForwardResult.Responding.resumed(call, resumed.attempt, resumed.response)
        return call.exchange.cancelOnDisconnect {
            ModelStream(call, result, engineClient, meter, responseWriter(call, chat)).relay { 0 }
        }
    }

    private suspend fun execute(
        call: Call,
        run: BillableRun,
        earlierEndpoint: EndpointId?,
    ): CallEnd {
        val resumed =
            earlierEndpoint?.let { engineClient.resumeEarlier(call, it) } ?: return executeForwarded(call, run)
        run.attempt = resumed.attempt
        return resumed.response.use {
            // Replicated before the stream is relayed, so that the next retry finds this router; otherwise both would
            // bill the request.
            journal.recordOpened(call, resumed.attempt.endpoint, run)
            call.trace.add("stream of an earlier attempt found endpoint=$earlierEndpoint")
            relay(call, run, ForwardResult.Responding.resumed(call, resumed.attempt, it))
        }
    }

    private suspend fun executeForwarded(
        call: Call,
        run: BillableRun,
    ): CallEnd =
        when (val result = forward(call, run)) {
            is ForwardResult.NoResponse ->
                RefusalWriter.refuse(
                    call,
                    checkNotNull(RequestLifecycle.refusal(result.state)) { "an ended request has a refusal" },
                )
            is ForwardResult.Responding -> result.response.use { relay(call, run, result) }
        }

    private suspend fun forward(
        call: Call,
        run: BillableRun,
    ): ForwardResult =
        forwarder.forward(
            call,
            RequestLifecycle.next(
                RequestLifecycle.admit(call.workspace.workspace, call.request),
                RequestEvent.Reserve,
            ),
            isIdempotent = true,
            isBodyReusable = { true },
            beforeSend = { attempt ->
                run.attempt = attempt
                // The record is replicated in the background; waiting for it would add a round trip to the time to
                // first token.
                backgroundScope.launch { journal.recordOpened(call, attempt.endpoint, run) }
                null
            },
            buildRequest = { upstreamRequest(call, run.chat) },
        )

    private fun upstreamRequest(
        call: Call,
        chat: ChatRequest,
    ): UpstreamRequest =
        UpstreamRequest(
            "POST",
            ENGINE_PATH,
            Headers.of(
                "Content-Type" to "application/json",
                "Accept" to "text/event-stream",
                "X-Request-Id" to call.upstreamRequestId,
                "X-Limpetfold-Route" to call.route.route.value,
            ),
            UpstreamBody.Bytes(chat.toUpstreamBody()),
            firstByteTimeout = minOf(call.route.idleTimeout, call.remainingTime()),
            idleTimeout = call.route.idleTimeout,
        )

    private suspend fun relay(
        call: Call,
        run: BillableRun,
        result: ForwardResult.Responding,
    ): CallEnd {
        run.attempt = result.attempt
        val status = result.response.head.status
        if (status != OK) return relayError(call, run, result)
        val stream = ModelStream(call, result, engineClient, run.meter, responseWriter(call, run.chat))
        val end = stream.relay { settle(call, run) }
        val hasFailed = end !is CallEnd.Answered
        release(result.attempt, hasFailed, stream)
        if (!hasFailed) forwarder.recordSuccess(call)
        return end
    }

    /** Passes an error of the engine, such as a prompt that is too long, to the caller; it is not billed. */
    private suspend fun relayError(
        call: Call,
        run: BillableRun,
        result: ForwardResult.Responding,
    ): CallEnd {
        val status = result.response.head.status
        val body = result.response.readAll(MAX_ERROR_BYTES).getOrElse { ByteArray(0) }
        run.discard()
        val hasFailed = status >= FIRST_SERVER_ERROR
        result.attempt.resources.release(
            if (hasFailed) EndpointOutcome.Failed else EndpointOutcome.Ignored,
            VersionObservation(isSuccess = !hasFailed),
        )
        val contentType = result.response.head.headers["Content-Type"] ?: "application/json"
        val headers = Headers.of("Content-Type" to contentType, "X-Request-Id" to call.request.value)
        call.exchange.respond(status, headers, body)
        return CallEnd.Answered(status)
    }

    private suspend fun settle(
        call: Call,
        run: BillableRun,
    ): Long {
        if (!run.tryBill()) throw CancellationException("the run was handed over")
        val settlement = budget.settle(run.reservation, run.meter.billableTokens)
        run.meter.measuredPromptTokens?.let { estimator.observe(run.chat.model, run.chat.promptBytes, it) }
        call.trace.add("charged tokens=${settlement.chargedTokens}")
        journal.recordClosed(call, settlement)
        return settlement.chargedTokens
    }

    private fun responseWriter(
        call: Call,
        chat: ChatRequest,
    ): ResponseWriter = if (chat.isStream) StreamingResponseWriter(call) else BufferedResponseWriter(call, chat.model)

    private fun release(
        attempt: Attempt,
        hasFailed: Boolean,
        stream: ModelStream,
    ) {
        val firstToken = stream.firstToken
        attempt.resources.release(
            if (hasFailed || firstToken == null) {
                EndpointOutcome.Failed
            } else {
                EndpointOutcome.Responded(firstToken)
            },
            VersionObservation(!hasFailed, null, firstToken, stream.betweenTokens),
        )
    }

    /** Cancels the request at the engine after the caller disconnected and bills what was generated until then. */
    private suspend fun onCallerDisconnected(
        call: Call,
        run: BillableRun,
    ) {
        val attempt = run.attempt ?: return
        if (run.state == BillingState.OPEN) {
            // A request that the engine never started costs nothing.
            val mayHaveRun = engineClient.cancel(call, attempt, run.meter) || run.meter.eventCount > 0
            if (mayHaveRun) settle(call, run) else run.discard()
        }
    }

    private fun maxWait(call: Call): Duration = minOf(MAX_BUDGET_WAIT, call.remainingTime())

    private fun BudgetRefusal.toRefusal(): Refusal.NotRun =
        when (this) {
            is BudgetRefusal.InsufficientBudget -> Refusal.BudgetExhausted(workspace, retryAfter)
            is BudgetRefusal.UnknownWorkspace -> Refusal.BudgetExhausted(workspace, retryAfter)
            is BudgetRefusal.PlatformUnavailable -> Refusal.BudgetUnavailable(workspace, retryAfter)
            is BudgetRefusal.RouterClosed -> Refusal.Draining(retryAfter)
        }

    private companion object {
        const val ENGINE_PATH = "/v1/chat/completions"
        const val DEFAULT_MAX_TOKENS = 512
        const val MAX_TOKENS_LIMIT = 32_768
        const val MAX_ERROR_BYTES = 64 * 1024
        const val OK = 200
        const val METHOD_NOT_ALLOWED = 405
        const val FIRST_SERVER_ERROR = 500

        /** The longest wait for a grant or a transfer of tokens before the call is refused. */
        val MAX_BUDGET_WAIT: Duration = Duration.ofSeconds(3)
        val OVERLOADED_RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val UNFINISHED_RETRY_AFTER: Duration = Duration.ofSeconds(5)
    }
}
