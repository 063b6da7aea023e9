package io.limpetfold.router.call

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.limpetfold.core.EndpointId
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.json.JsonDepth
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.membership.Membership
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.router.chat.ChatEvent
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
    private val versionSelector: VersionSelector,
) {
    /** A stream that an earlier attempt of the same request started; this router holds a slot for it. */
    class ResumedStream(
        val attempt: Attempt,
        val response: UpstreamResponse,
    )

    /**
     * Resumes a stream after its first [receivedEvents] events; returns null when that fails or the engine no longer
     * has the stream.
     */
    suspend fun resume(
        call: Call,
        attempt: Attempt,
        receivedEvents: Long,
    ): UpstreamResponse? {
        delay(RESUME_DELAY.toMillis())
        return open(call, attempt.address, receivedEvents)
    }

    /**
     * Resumes the stream that an earlier attempt of the same request started at [endpoint], from its first event;
     * returns null when that fails or the engine no longer has the stream.
     */
    suspend fun resumeEarlier(
        call: Call,
        endpoint: EndpointId,
    ): ResumedStream? {
        val listed =
            membership.endpoints(call.service.name).firstOrNull { it.instance.value == endpoint.value } ?: return null
        val candidate = listOf(EndpointCandidate(endpoint, listed.zone))
        val choice = versionSelector.untrackedChoice(call.route.route, call.request, listed.version)
        val resources = call.resources.own(choice, versionSelector)
        limiter
            .acquire(call.route.route, call.workspace.workspace, candidate, MAX_RESUME_WAIT)
            .fold(success = resources::add, failure = { return null })
        val address = HostPort(listed.host, listed.port)
        val response = open(call, address, receivedEvents = 0)
        if (response == null) {
            resources.discard()
            return null
        }
        return ResumedStream(Attempt(endpoint, address, listed.version, resources), response)
    }

    /**
     * Cancels a request at its engine and passes the engine's token counts to [meter]. Returns false when the engine
     * responded that it does not know the request, and true when it may have generated tokens.
     */
    suspend fun cancel(
        call: Call,
        attempt: Attempt,
        meter: TokenMeter,
    ): Boolean {
        val response =
            upstream.send(attempt.address, request("DELETE", "/v1/streams/${call.upstreamRequestId}", call)).get()
                ?: return true
        val body = response.use { it.readAll(MAX_USAGE_BYTES).getOrElse { return true } }
        usage(body)?.let(meter::accept)
        return response.head.status != NOT_FOUND
    }

    private suspend fun open(
        call: Call,
        address: HostPort,
        receivedEvents: Long,
    ): UpstreamResponse? {
        val target = "/v1/streams/${call.upstreamRequestId}?after=$receivedEvents"
        val response = upstream.send(address, request("GET", target, call)).get() ?: return null
        if (response.head.status == OK) return response
        response.close()
        return null
    }

    private fun request(
        method: String,
        target: String,
        call: Call,
    ) = UpstreamRequest(
        method,
        target,
        Headers.of("X-Request-Id" to call.upstreamRequestId),
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
            if (promptTokens == null ||
                completionTokens == null
            ) {
                null
            } else {
                ChatEvent.Usage(promptTokens, completionTokens)
            }
        } catch (_: IllegalArgumentException) {
            null
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val MAX_USAGE_BYTES = 64 * 1024
        val RESUME_DELAY: Duration = Duration.ofMillis(50)
        val MAX_RESUME_WAIT: Duration = Duration.ofSeconds(2)
        val CONTROL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
