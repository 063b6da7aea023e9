package io.limpetfold.gateway.call

import com.github.michaelbull.result.getOrElse
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.ForwardedCallHeaders
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestIdEcho
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.SendCheck
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import java.io.ByteArrayOutputStream
import java.time.Duration

/** Sends a call to one endpoint and forwards the response to the caller. */
internal class EndpointSender(
    private val client: UpstreamClient,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
    private val notices: EndpointNotices,
) {
    /** What an endpoint did with a call that was sent to it. */
    sealed interface Opened {
        /** The endpoint's response has begun; pass it to [deliver] or close it. */
        class Responding(
            val response: UpstreamResponse,
        ) : Opened

        /** The attempt has ended without a response to deliver. */
        class Ended(
            val result: SendResult,
        ) : Opened
    }

    /**
     * Sends [call] to the endpoint of [state] and waits for the head of its response; [relay] knows which events of a
     * stream the caller already received from earlier attempts. [check] decides right before the call is written whether
     * it still goes to this endpoint.
     */
    suspend fun open(
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
        check: SendCheck,
    ): Opened {
        val endpoint = state.endpoint
        val request = upstreamRequest(call, state, relay)
        val mayHaveRunBefore = call.mayHaveRun
        // Set in the step that writes the call: one that ends before was not sent and never will be, and one that is
        // cancelled while its response is awaited has an unknown outcome.
        var sentAt = clock.now()
        val checkAndMark =
            SendCheck {
                check.withdrawal().also {
                    if (it == null) {
                        call.mayHaveRun = true
                        sentAt = clock.now()
                    }
                }
            }
        val response =
            client.send(HostPort(endpoint.host, endpoint.port), request, checkAndMark).getOrElse { error ->
                return Opened.Ended(failed(error))
            }
        state.onBytesReceived(clock.now())
        notices.onResponse(state, response.head, sentAt)
        if (!codec.isNotRun(response.head)) return Opened.Responding(response)
        call.mayHaveRun = mayHaveRunBefore
        return Opened.Ended(response.use { notRun(it) })
    }

    /** Whether [response] goes on with a stream, and not an error or something else. */
    fun isStream(response: UpstreamResponse): Boolean =
        isEventStream(response.head) && codec.isSigned(response.head) && codec.isUnencoded(response.head)

    /**
     * Forwards [response] to the caller. A stream whose endpoint is silent can leave it by [handover]; an error of the
     * endpoint is dropped if [acquireRepeat] acquires another attempt in its place.
     */
    suspend fun deliver(
        exchange: HttpExchange,
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
        response: UpstreamResponse,
        acquireRepeat: () -> Boolean,
        handover: StreamHandover,
    ): SendResult {
        val status = response.head.status
        if (!codec.isUnencoded(response.head)) return foreign(relay, "a response with an encoded body")
        if (status in SUCCESSES &&
            !codec.isSigned(response.head)
        ) {
            return foreign(relay, "a success without a signature")
        }
        if (isEventStream(response.head)) return relay.forward(exchange, call, state, response, handover)
        if (relay.hasStarted) return SendResult.Interrupted("status $status instead of the rest of the stream")
        if (status >= SERVER_ERROR && acquireRepeat()) {
            drain(response)
            return SendResult.Repeated(status)
        }
        return forwardBuffered(exchange, call, response)
    }

    private fun failed(error: UpstreamError): SendResult =
        when {
            error.reason == UpstreamError.Reason.WITHDRAWN -> SendResult.Withdrawn(error.message)
            error is UpstreamError.NotSent -> SendResult.NotSent(describe(error))
            else -> SendResult.Unknown(describe(error), error.isConnectionLost)
        }

    /** The response is not the one that the endpoint made for this call, because of [reason]. */
    private fun foreign(
        relay: StreamRelay,
        reason: String,
    ): SendResult = if (relay.hasStarted) SendResult.Interrupted(reason) else SendResult.Unknown(reason)

    /**
     * Forwards a response once it is complete; one above [CallPolicy.maxBufferedResponseBytes] is forwarded while it is
     * received.
     */
    private suspend fun forwardBuffered(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
    ): SendResult {
        val buffered = ByteArrayOutputStream()
        while (buffered.size() <= policy.maxBufferedResponseBytes) {
            val chunk = response.next().getOrElse { return SendResult.Unknown(describe(it), it.isConnectionLost) }
            if (chunk == null) {
                onResponseStarted(call)
                if (buffered.size() > 0) onUncountedOutput(call, response.head)
                exchange.respond(response.head.status, codec.callerHeaders(response.head), buffered.toByteArray())
                return SendResult.Delivered(response.head.status)
            }
            buffered.write(chunk)
        }
        return forwardChunks(exchange, call, response, buffered.toByteArray())
    }

    private suspend fun forwardChunks(
        exchange: HttpExchange,
        call: AdmittedCall,
        response: UpstreamResponse,
        buffered: ByteArray,
    ): SendResult {
        val headers = codec.callerHeaders(response.head)
        val length = response.head.headers["Content-Length"]
        val forwarded = if (length == null) headers else headers.with("Content-Length", length)
        onResponseStarted(call)
        onUncountedOutput(call, response.head)
        val sink = exchange.respondStream(response.head.status, forwarded)
        sink.write(buffered)
        while (true) {
            val chunk =
                response.next().getOrElse {
                    sink.abort()
                    return SendResult.Interrupted(describe(it), it.isConnectionLost)
                }
            if (chunk == null) break
            sink.write(chunk)
        }
        sink.finish()
        return SendResult.Delivered(response.head.status)
    }

    private suspend fun notRun(response: UpstreamResponse): SendResult {
        val status = response.head.status
        drain(response)
        return SendResult.NotRun(status)
    }

    /** Reads a body that nobody needs, so that its connection can be used again; one that ends with it is not waited for. */
    private suspend fun drain(response: UpstreamResponse) {
        if (response.head.isCloseDelimited) response.close() else response.readAll(policy.maxBufferedResponseBytes)
    }

    private fun upstreamRequest(
        call: AdmittedCall,
        state: EndpointState,
        relay: StreamRelay,
    ): UpstreamRequest {
        val remaining = call.deadline - clock.now()
        val forwarded =
            ForwardedCallHeaders(
                remaining = remaining,
                endpoint = state.endpoint.id,
                workspace = call.workspace?.workspace,
                priority = call.priority.takeIf { call.headers.prompt != null },
                lastEventId = relay.lastEventId ?: call.headers.lastEventId.takeIf { call.route.isResumable },
            )
        val body = if (call.body.isEmpty()) UpstreamBody.None else UpstreamBody.Bytes(call.body)
        val timeout = remaining + TIMEOUT_MARGIN
        return UpstreamRequest(
            call.head.method,
            call.head.target,
            codec.upstreamHeaders(call.head, forwarded),
            body,
            RequestIdEcho.REQUIRED,
            firstByteTimeout = timeout,
            idleTimeout = timeout,
        )
    }

    private fun onResponseStarted(call: AdmittedCall) {
        call.isResponseStarted = true
        if (call.firstByteAt == null) call.firstByteAt = clock.now()
    }

    /** Records that a body is written that is not a stream of events; that of an error response is no output. */
    private fun onUncountedOutput(
        call: AdmittedCall,
        head: ResponseHead,
    ) {
        if (head.status < CLIENT_ERROR) call.hasUncountedOutput = true
    }

    private fun isEventStream(head: ResponseHead): Boolean =
        head.status == OK && head.headers["Content-Type"].orEmpty().startsWith("text/event-stream")

    private fun describe(error: UpstreamError): String = "${error.reason.name.lowercase()}: ${error.message}"

    private companion object {
        const val OK = 200
        const val CLIENT_ERROR = 400
        const val SERVER_ERROR = 500
        val SUCCESSES = 200..299

        /** The call's deadline applies first; the timeouts of the connection are later and only release it. */
        val TIMEOUT_MARGIN: Duration = Duration.ofMillis(500)
    }
}
