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
import io.limpetfold.http.whileConnected
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.request.Refusal
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.router.call.CallJournal.Earlier
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
 * Answers chat-completions calls from model engines, within the prepaid budget of the workspace.
 *
 * The prompt bound and the output limit are reserved before a byte goes to an engine; what was used is charged before the last part
 * of the answer goes to the caller.
 */
internal class ModelCallHandler(
    private val forwarder: Forwarder,
    private val engines: EngineClient,
    private val budget: BudgetAgent,
    private val estimator: PromptEstimator,
    private val versions: VersionSelector,
    private val journal: CallJournal,
    private val runs: RunRegistry,
    private val bodies: HeldBodies,
    private val clock: InstantSource,
    private val background: CoroutineScope,
) : CallHandler {
    override suspend fun handle(call: Call): CallEnd {
        if (call.exchange.head.method != "POST") {
            return RefusalWriter.refuse(call, Refusal.InvalidRequest("method must be POST", METHOD_NOT_ALLOWED))
        }
        return bodies.read(call.exchange, call.route.maxRequestBytes.bytes.toInt()) { answer(call, it) }
            ?: RefusalWriter.refuse(call, Refusal.RouterOverloaded("request bodies held", OVERLOADED_RETRY_AFTER))
    }

    private suspend fun answer(
        call: Call,
        body: ByteArray,
    ): CallEnd {
        val chat =
            ChatRequest.parse(body, DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT).getOrElse {
                return RefusalWriter.refuse(call, Refusal.InvalidRequest(it))
            }
        if (!call.isCallerIdentity) return runBilled(call, chat, null)
        if (!runs.beginStart(call)) return refuseUnfinished(call)
        return try {
            when (val earlier = journal.earlier(call)) {
                is Earlier.Unfinished -> refuseUnfinished(call)
                is Earlier.Finished -> replay(call, chat, earlier.endpoint)
                is Earlier.Available -> runBilled(call, chat, earlier)
                is Earlier.None -> runBilled(call, chat, null)
            }
        } finally {
            runs.endStart(call)
        }
    }

    private suspend fun refuseUnfinished(call: Call): CallEnd =
        RefusalWriter.refuse(call, Refusal.DuplicateUnfinished(clock.instant(), UNFINISHED_RETRY_AFTER))

    private suspend fun runBilled(
        call: Call,
        chat: ChatRequest,
        earlier: Earlier.Available?,
    ): CallEnd {
        val promptBound = estimator.maxPromptTokens(chat.model, chat.promptBytes)
        val reservation =
            budget
                .reserve(call.workspace.workspace, call.request, promptBound + chat.maxTokens, maxWait(call))
                .getOrElse { return RefusalWriter.refuse(call, it.toRefusal()) }
        call.trace.add("reserved tokens=${reservation.tokens}")
        val takeovers = if (earlier == null) 0 else earlier.takeovers + 1
        val run = BillableRun(chat, reservation, TokenMeter(chat.maxTokens.toLong(), promptBound), takeovers)
        runs.add(call, run)
        return try {
            call.exchange.whileConnected {
                run.job = coroutineContext.job
                answer(call, run, earlier?.endpoint)
            }
        } catch (e: CallerDisconnectedException) {
            withContext(NonCancellable) { cancelled(call, run) }
            throw e
        } catch (e: CancellationException) {
            if (run.state != BillState.HANDED_OVER) throw e
            call.trace.add("handed over to another router")
            release(run)
            CallEnd.Cancelled
        } finally {
            // Charges nothing when the run was settled before; otherwise it ended without using an engine or was handed over.
            budget.settle(reservation, 0)
            runs.remove(call, run)
        }
    }

    /** Repeats the answer to a request that was billed before, from the stream that its engine still holds. */
    private suspend fun replay(
        call: Call,
        chat: ChatRequest,
        endpoint: EndpointId?,
    ): CallEnd {
        val resumed = endpoint?.let { engines.resumeEarlier(call, it) } ?: return RefusalWriter.refuse(call, Refusal.DuplicateFinished(OK))
        call.trace.add("answer replayed endpoint=$endpoint")
        val meter = TokenMeter(chat.maxTokens.toLong(), estimator.maxPromptTokens(chat.model, chat.promptBytes))
        val result = ForwardResult.Answering.resumed(call, resumed.attempt, resumed.answer)
        return try {
            call.exchange.whileConnected { ModelStream(call, result, engines, meter, writer(call, chat)).run { 0 } }
        } finally {
            resumed.attempt.permit.release(EndpointOutcome.Ignored)
        }
    }

    private suspend fun answer(
        call: Call,
        run: BillableRun,
        earlierEndpoint: EndpointId?,
    ): CallEnd {
        val resumed = earlierEndpoint?.let { engines.resumeEarlier(call, it) }
        val result =
            if (resumed == null) {
                forward(call, run)
            } else {
                // The next retry must find this router; otherwise two would bill the request.
                journal.opened(call, resumed.attempt.endpoint, run)
                call.trace.add("stream of an earlier attempt found endpoint=$earlierEndpoint")
                ForwardResult.Answering.resumed(call, resumed.attempt, resumed.answer)
            }
        return when (result) {
            is ForwardResult.Ended ->
                RefusalWriter.refuse(call, checkNotNull(RequestLifecycle.refusal(result.state)) { "an ended request has a refusal" })
            is ForwardResult.Answering -> passOn(call, run, result)
        }
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
                // The copy travels beside the request; waiting for it would add a round trip to each first token.
                background.launch { journal.opened(call, attempt.endpoint, run) }
                null
            },
            prepare = { upstreamRequest(call, run.chat) },
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
                "X-Request-Id" to call.upstreamIdentity,
                "X-Limpetfold-Route" to call.route.route.value,
            ),
            UpstreamBody.Bytes(chat.toUpstreamBody()),
            firstByteTimeout = minOf(call.route.idleTimeout, call.remaining()),
            idleTimeout = call.route.idleTimeout,
        )

    private suspend fun passOn(
        call: Call,
        run: BillableRun,
        result: ForwardResult.Answering,
    ): CallEnd {
        run.attempt = result.attempt
        val status = result.answer.head.status
        if (status != OK) return passOnError(call, run, result)
        val stream = ModelStream(call, result, engines, run.meter, writer(call, run.chat))
        val end = stream.run { settle(call, run) }
        val hasFailed = end !is CallEnd.Answered
        release(run, hasFailed, stream)
        if (!hasFailed) forwarder.succeeded(call)
        return end
    }

    /** An engine's own error, such as a prompt that is too long for it, goes to the caller and costs nothing. */
    private suspend fun passOnError(
        call: Call,
        run: BillableRun,
        result: ForwardResult.Answering,
    ): CallEnd {
        val status = result.answer.head.status
        val body = result.answer.readAll(MAX_ERROR_BYTES).getOrElse { ByteArray(0) }
        run.discard()
        val hasFailed = status >= FIRST_SERVER_ERROR
        result.attempt.permit.release(if (hasFailed) EndpointOutcome.Failed else EndpointOutcome.Ignored)
        versions.record(result.attempt.choice, VersionObservation(isSuccess = !hasFailed))
        val contentType = result.answer.head.headers["Content-Type"] ?: "application/json"
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
        journal.closed(call, settlement)
        return settlement.chargedTokens
    }

    private fun writer(
        call: Call,
        chat: ChatRequest,
    ): AnswerWriter = if (chat.isStream) StreamAnswerWriter(call) else WholeAnswerWriter(call, chat.model)

    private fun release(
        run: BillableRun,
        hasFailed: Boolean,
        stream: ModelStream,
    ) {
        val attempt = run.attempt ?: return
        val firstToken = stream.firstToken
        attempt.permit.release(
            if (hasFailed || firstToken == null) {
                EndpointOutcome.Failed
            } else {
                EndpointOutcome.Answered(firstToken)
            },
        )
        versions.record(attempt.choice, VersionObservation(!hasFailed, null, firstToken, stream.betweenTokens))
    }

    /** The caller left: the engine stops, and what it generated is billed. */
    private suspend fun cancelled(
        call: Call,
        run: BillableRun,
    ) {
        val attempt = run.attempt ?: return
        if (run.state == BillState.OPEN) {
            // A request that never reached an engine costs nothing.
            val mayHaveRun = engines.cancel(call, attempt, run.meter) || run.meter.eventCount > 0
            if (mayHaveRun) settle(call, run) else run.discard()
        }
        release(run)
    }

    private fun release(run: BillableRun) {
        val attempt = run.attempt ?: return
        attempt.permit.release(EndpointOutcome.Ignored)
        versions.cancel(attempt.choice, wasSent = true)
    }

    private fun maxWait(call: Call): Duration = minOf(MAX_BUDGET_WAIT, call.remaining())


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

        /** A caller waits this long for a grant or a transfer under way before it is refused. */
        val MAX_BUDGET_WAIT: Duration = Duration.ofSeconds(3)
        val OVERLOADED_RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val UNFINISHED_RETRY_AFTER: Duration = Duration.ofSeconds(5)
    }
}
