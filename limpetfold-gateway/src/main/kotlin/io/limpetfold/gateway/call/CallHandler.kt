package io.limpetfold.gateway.call

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.observe.CallObserver
import io.limpetfold.gateway.operate.GracefulShutdown
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.quarantine.PromptPartQuarantine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/**
 * Handles calls: checks a call, reserves its tokens and forwards it; cancels the work as soon as the caller
 * disconnects, and when the router has to stop.
 */
internal class CallHandler(
    private val admission: CallAdmission,
    private val bodies: BodyReader,
    private val quarantine: PromptPartQuarantine,
    private val budget: TokenBudget,
    private val dispatcher: CallDispatcher,
    private val refusals: RefusalWriter,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
    private val observer: CallObserver,
    private val shutdown: GracefulShutdown,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        val arrivedAt = clock.now()
        val call = admission.admit(exchange.head, arrivedAt).getOrElse { return refuse(exchange, it) }
        var end: CallEnd = CallEnd.CallerDisconnected
        try {
            end = runUntilCancelled(exchange, call) { serve(exchange, call) }
            if (end is CallEnd.Refused) writeRefusal(exchange, call, end)
        } catch (_: CallerDisconnectedException) {
            end = CallEnd.CallerDisconnected
        } finally {
            observer.onCallEnded(call, end, clock.now())
        }
    }

    private suspend fun refuse(
        exchange: HttpExchange,
        refusal: AdmissionRefusal,
    ) {
        refusals.drain(exchange)
        observer.onCallRefused(exchange.head, refusal)
        val requestIdHeader = refusal.request?.let { codec.requestIdHeader to it.value }
        refusals.write(exchange, refusal.reason, requestIdHeader, remaining = null, message = refusal.message)
    }

    private suspend fun serve(
        exchange: HttpExchange,
        call: AdmittedCall,
    ): CallEnd {
        val maxWait = maxOf(Duration.ZERO, (call.deadline - clock.now()).dividedBy(BODY_WAIT_DIVISOR))
        val body = bodies.read(exchange, maxWait) ?: return CallEnd.Refused(RefusalReason.BODIES_TOO_LARGE)
        return body.use {
            call.body = it.bytes
            serveRead(exchange, call)
        }
    }

    private suspend fun serveRead(
        exchange: HttpExchange,
        call: AdmittedCall,
    ): CallEnd {
        val isQuarantined = quarantine.blocks(call.headers.prompt, clock.now())
        if (isQuarantined) return CallEnd.Refused(RefusalReason.PROMPT_PART_QUARANTINED)
        val maxWait = minOf(policy.maxBudgetWait, (call.deadline - clock.now()).dividedBy(2))
        val reservation =
            budget.reserve(call, if (maxWait.isNegative) Duration.ZERO else maxWait).fold(
                success = { it },
                failure = { return CallEnd.Refused(it) },
            )
        try {
            return forward(exchange, call)
        } finally {
            budget.settle(call, reservation)
        }
    }

    private suspend fun forward(
        exchange: HttpExchange,
        call: AdmittedCall,
    ): CallEnd {
        val remaining = call.deadline - clock.now()
        if (remaining < policy.minAttemptTime) return CallEnd.Refused(RefusalReason.TOO_LATE)
        return withTimeoutOrNull(remaining.toMillis()) { dispatcher.dispatch(exchange, call) } ?: timedOut(call)
    }

    private fun timedOut(call: AdmittedCall): CallEnd =
        unfinished(call, "the deadline passed", RefusalReason.TOO_LATE, RefusalReason.TIMED_OUT)

    private fun stopped(call: AdmittedCall): CallEnd =
        unfinished(call, "the router stopped", RefusalReason.STOPPING, RefusalReason.OUTCOME_UNKNOWN)

    private fun unfinished(
        call: AdmittedCall,
        reason: String,
        notRun: RefusalReason,
        mayHaveRun: RefusalReason,
    ): CallEnd =
        when {
            call.isResponseStarted -> CallEnd.Truncated(reason)
            call.mayHaveRun -> CallEnd.Refused(mayHaveRun)
            else -> CallEnd.Refused(notRun)
        }

    private suspend fun writeRefusal(
        exchange: HttpExchange,
        call: AdmittedCall,
        refusal: CallEnd.Refused,
    ) {
        val requestIdHeader = codec.requestIdHeader to call.request.value
        refusals.write(exchange, refusal.reason, requestIdHeader, call.deadline - clock.now(), refusal.retryAfter)
    }

    /**
     * Returns the result of [work]. Cancels it, including its connection to an endpoint, when the caller disconnects or
     * the router ends its drain; the caller then still gets an answer.
     */
    private suspend fun runUntilCancelled(
        exchange: HttpExchange,
        call: AdmittedCall,
        work: suspend () -> CallEnd,
    ): CallEnd {
        var result: CallEnd? = null
        var isStopped = false
        coroutineScope {
            val job = launch { result = work() }
            val disconnectHandle =
                exchange.onCallerDisconnected { job.cancel(CancellationException("the caller disconnected")) }
            val drainHandle =
                shutdown.onDrainEnded {
                    isStopped = true
                    job.cancel(CancellationException("the router stopped"))
                }
            job.join()
            disconnectHandle.dispose()
            drainHandle.dispose()
        }
        return result ?: if (isStopped) stopped(call) else CallEnd.CallerDisconnected
    }

    private companion object {
        /** Part of the remaining time that a call waits for memory; the rest is for reading its body and for the call. */
        const val BODY_WAIT_DIVISOR = 3L
    }
}
