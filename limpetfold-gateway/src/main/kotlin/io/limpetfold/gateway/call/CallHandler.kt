package io.limpetfold.gateway.call

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.observe.CallObserver
import io.limpetfold.http.CallerDisconnectedException
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/** Answers callers: checks a call, reserves its tokens, forwards it, and ends its work at once when the caller leaves. */
internal class CallHandler(
    private val admission: CallAdmission,
    private val budget: TokenBudget,
    private val dispatcher: CallDispatcher,
    private val refusals: RefusalWriter,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
    private val observer: CallObserver,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        val arrivedAt = clock.now()
        val call =
            admission.admit(exchange.head, arrivedAt).getOrElse { reason ->
                val request = exchange.head.headers[codec.requestIdHeader]
                refusals.drain(exchange)
                observer.refused(exchange.head, request, reason)
                return refusals.write(exchange, reason, request?.let { codec.requestIdHeader to it }, null)
            }
        var end: CallEnd = CallEnd.CallerGone
        try {
            end = untilCallerGone(exchange) { serve(exchange, call) } ?: CallEnd.CallerGone
            if (end is CallEnd.Refused) writeRefusal(exchange, call, end.reason)
        } catch (_: CallerDisconnectedException) {
            end = CallEnd.CallerGone
        } finally {
            observer.ended(call, end, clock.now())
        }
    }

    private suspend fun serve(
        exchange: HttpExchange,
        call: AdmittedCall,
    ): CallEnd {
        call.body = exchange.readBody(policy.maxBodyBytes)
        val maxWait = minOf(policy.maxBudgetWait, (call.endsAt - clock.now()).dividedBy(2))
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
        val remaining = call.endsAt - clock.now()
        if (remaining < policy.shortestSend) return CallEnd.Refused(RefusalReason.TOO_LATE)
        return withTimeoutOrNull(remaining.toMillis()) { dispatcher.dispatch(exchange, call) } ?: timedOut(call)
    }

    private fun timedOut(call: AdmittedCall): CallEnd =
        when {
            call.isAnswerBegun -> CallEnd.Broken("the deadline passed")
            call.mayHaveRun -> CallEnd.Refused(RefusalReason.TIMED_OUT)
            else -> CallEnd.Refused(RefusalReason.TOO_LATE)
        }

    private suspend fun writeRefusal(
        exchange: HttpExchange,
        call: AdmittedCall,
        reason: RefusalReason,
    ) = refusals.write(exchange, reason, codec.requestIdHeader to call.request.value, call.endsAt - clock.now())

    /** Runs [work] and cancels it, with its connection to an endpoint, when the caller leaves; then returns null. */
    private suspend fun <T : Any> untilCallerGone(
        exchange: HttpExchange,
        work: suspend () -> T,
    ): T? {
        var result: T? = null
        coroutineScope {
            val running = launch { result = work() }
            val watch = exchange.onCallerDisconnected { running.cancel(CancellationException("the caller left")) }
            running.join()
            watch.dispose()
        }
        return result
    }
}
