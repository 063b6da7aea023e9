package io.limpetfold.gateway.call

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.ForwardedCallHeaders
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestIdEcho
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import java.io.ByteArrayOutputStream
import java.time.Duration

/** Sends a call to one endpoint and passes its answer on. */
internal class EndpointSender(
    private val client: UpstreamClient,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
) {
    /** Sends [call] to [state]; [relay] holds what of a stream went to the caller before. */
    suspend fun send(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
        mayReplaceFailure: Boolean,
    ): SendResult {
        val endpoint = state.endpoint
        val request = upstreamRequest(call, state, relay)
        val hadRun = call.mayHaveRun
        // A cancellation while the answer is awaited leaves the outcome open.
        call.mayHaveRun = true
        val answer =
            client.send(HostPort(endpoint.host, endpoint.port), request).getOrElse { error ->
                if (error !is UpstreamError.NotSent) return SendResult.Unknown(text(error))
                call.mayHaveRun = hadRun
                return SendResult.NotSent(text(error))
            }
        state.onBytesReceived(clock.now())
        return answer.use {
            if (codec.isNotRun(it.head)) {
                call.mayHaveRun = hadRun
                notRun(it)
            } else {
                deliver(exchange, call, state, relay, it, mayReplaceFailure)
            }
        }
    }

    private suspend fun deliver(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
        answer: UpstreamResponse,
        mayReplaceFailure: Boolean,
    ): SendResult {
        val status = answer.head.status
        if (status in SUCCESSES && !codec.isSigned(answer.head)) return unsigned(relay)
        if (isEventStream(answer.head)) return relay.pass(exchange, call, state, answer)
        if (relay.hasBegun) return SendResult.Interrupted("status $status in place of the rest of a stream")
        if (mayReplaceFailure && status >= SERVER_ERROR) {
            answer.readAll(policy.maxHeldAnswerBytes)
            return SendResult.Unknown("status $status")
        }
        return pass(exchange, call, answer)
    }

    /** A success without a signature is not the endpoint's answer to this call. */
    private fun unsigned(relay: StreamRelay): SendResult {
        val reason = "a success without a signature"
        return if (relay.hasBegun) SendResult.Interrupted(reason) else SendResult.Unknown(reason)
    }

    /** Holds an answer back until it is whole; one above the bound begins to go out before. */
    private suspend fun pass(
        exchange: HttpExchange,
        call: AdmittedCall,
        answer: UpstreamResponse,
    ): SendResult {
        val held = ByteArrayOutputStream()
        while (held.size() <= policy.maxHeldAnswerBytes) {
            val piece = answer.next().getOrElse { return SendResult.Unknown(text(it)) }
            if (piece == null) {
                begin(call)
                exchange.respond(answer.head.status, answer.head.headers.withoutHopByHop(), held.toByteArray())
                return SendResult.Delivered(answer.head.status)
            }
            held.write(piece)
        }
        return passPieces(exchange, call, answer, held.toByteArray())
    }

    private suspend fun passPieces(
        exchange: HttpExchange,
        call: AdmittedCall,
        answer: UpstreamResponse,
        held: ByteArray,
    ): SendResult {
        val headers = answer.head.headers
        val length = headers["Content-Length"]
        val forwarded = if (length == null) headers.withoutHopByHop() else headers.withoutHopByHop().with("Content-Length", length)
        begin(call)
        val sink = exchange.respondStream(answer.head.status, forwarded)
        sink.write(held)
        while (true) {
            val piece =
                answer.next().getOrElse {
                    sink.abort()
                    return SendResult.Interrupted(text(it))
                }
            if (piece == null) break
            sink.write(piece)
        }
        sink.finish()
        return SendResult.Delivered(answer.head.status)
    }

    private suspend fun notRun(answer: UpstreamResponse): SendResult {
        val status = answer.head.status
        answer.readAll(policy.maxHeldAnswerBytes).fold({}, { })
        return SendResult.NotRun(status)
    }

    private fun upstreamRequest(
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
    ): UpstreamRequest {
        val remaining = call.endsAt - clock.now()
        val forwarded =
            ForwardedCallHeaders(
                remaining = remaining,
                endpoint = state.endpoint.endpoint,
                workspace = call.workspace?.workspace,
                priority = call.priority.takeIf { call.headers.prompt != null },
                lastEventId = relay.lastEventId ?: call.headers.lastEventId.takeIf { call.route.isResumable },
            )
        val body = if (call.body.isEmpty()) UpstreamBody.None else UpstreamBody.Bytes(call.body)
        val limit = remaining + LIMIT_MARGIN
        return UpstreamRequest(
            call.head.method,
            call.head.target,
            codec.upstreamHeaders(call.head, forwarded),
            body,
            RequestIdEcho.IF_PRESENT,
            firstByteTimeout = limit,
            idleTimeout = limit,
        )
    }

    private fun begin(call: AdmittedCall) {
        call.isAnswerBegun = true
        if (call.firstByteAt == null) call.firstByteAt = clock.now()
    }

    private fun isEventStream(head: ResponseHead): Boolean =
        head.status == OK && head.headers["Content-Type"].orEmpty().startsWith("text/event-stream")

    private fun text(error: UpstreamError): String = "${error.reason.name.lowercase()}: ${error.message}"

    private companion object {
        const val OK = 200
        const val SERVER_ERROR = 500
        val SUCCESSES = 200..299

        /** The call's own end comes first; the connection's limits only clean up behind it. */
        val LIMIT_MARGIN: Duration = Duration.ofMillis(500)
    }
}
