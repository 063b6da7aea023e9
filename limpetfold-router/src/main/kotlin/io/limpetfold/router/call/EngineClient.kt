package io.limpetfold.router.call

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.limpetfold.core.EndpointId
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.membership.Membership
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.JsonDepth
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.time.Duration

/** Resumes and cancels streams at model engines. */
internal class EngineClient(
    private val upstream: UpstreamClient,
    private val membership: Membership,
    private val limiter: EndpointLimiter,
    private val versions: VersionSelector,
) {
    /** A stream that an earlier attempt of the same request started, under a slot of this router. */
    class Resumed(
        val attempt: Attempt,
        val answer: UpstreamResponse,
    )

    /** Continues a stream after [events] events, or returns null when the engine no longer has it. */
    suspend fun resume(
        call: Call,
        attempt: Attempt,
        events: Long,
    ): UpstreamResponse? {
        delay(RESUME_PAUSE.toMillis())
        return open(call, attempt.address, events)
    }

    /** Finds the stream that an earlier router of the same request started at [endpoint], from its beginning. */
    suspend fun resumeEarlier(
        call: Call,
        endpoint: EndpointId,
    ): Resumed? {
        val listed = membership.endpoints(call.service.name).firstOrNull { it.instance.value == endpoint.value } ?: return null
        val candidate = listOf(EndpointCandidate(endpoint, listed.zone))
        val permit =
            limiter
                .acquire(call.route.route, call.workspace.workspace, candidate, MAX_RESUME_WAIT)
                .getOrElse { return null }
        val address = HostPort(listed.host, listed.port)
        val answer = open(call, address, events = 0)
        if (answer == null) {
            permit.release(EndpointOutcome.Ignored)
            return null
        }
        val choice = versions.untrackedChoice(call.route.route, call.request, listed.version)
        return Resumed(Attempt(endpoint, address, listed.version, choice, permit), answer)
    }

    /**
     * Stops the engine's work on a request and takes its count of what was generated. Returns false when the engine answered that it has no
     * such stream, and true when it may have generated something.
     */
    suspend fun cancel(
        call: Call,
        attempt: Attempt,
        meter: TokenMeter,
    ): Boolean {
        val answer = upstream.send(attempt.address, request("DELETE", "/v1/streams/${call.upstreamIdentity}", call)).get() ?: return true
        val body = answer.use { it.readAll(MAX_USAGE_BYTES).getOrElse { return true } }
        usage(body)?.let(meter::accept)
        return answer.head.status != NOT_FOUND
    }

    private suspend fun open(
        call: Call,
        address: HostPort,
        events: Long,
    ): UpstreamResponse? {
        val target = "/v1/streams/${call.upstreamIdentity}?after=$events"
        val answer = upstream.send(address, request("GET", target, call)).get() ?: return null
        if (answer.head.status == OK) return answer
        answer.close()
        return null
    }

    private fun request(
        method: String,
        target: String,
        call: Call,
    ) = UpstreamRequest(
        method,
        target,
        Headers.of("X-Request-Id" to call.upstreamIdentity),
        firstByteTimeout = CONTROL_TIMEOUT,
        idleTimeout = call.route.idleTimeout,
    )

    private fun usage(body: ByteArray): ChatEvent.Usage? =
        try {
            val text = body.decodeToString()
            val content = if (JsonDepth.isExceeded(text)) null else Json.parseToJsonElement(text) as? JsonObject
            val usage = content?.get("usage")?.jsonObject
            val promptTokens = usage?.get("prompt_tokens")?.jsonPrimitive?.longOrNull
            val completionTokens = usage?.get("completion_tokens")?.jsonPrimitive?.longOrNull
            if (promptTokens == null || completionTokens == null) null else ChatEvent.Usage(promptTokens, completionTokens)
        } catch (_: IllegalArgumentException) {
            null
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val MAX_USAGE_BYTES = 64 * 1024
        val RESUME_PAUSE: Duration = Duration.ofMillis(50)
        val MAX_RESUME_WAIT: Duration = Duration.ofSeconds(2)
        val CONTROL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
