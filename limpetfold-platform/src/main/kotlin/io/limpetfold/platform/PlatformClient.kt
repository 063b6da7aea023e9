package io.limpetfold.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.http.Headers
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.store.StoreError
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/** Makes calls to the platform and turns their failures into [StoreError]. */
class PlatformClient(
    private val client: UpstreamClient,
    private val settings: PlatformSettings,
) {
    /** An answer of the platform. */
    class Response(
        val head: ResponseHead,
        val body: String,
    )

    /** Makes a call that may be repeated: any failure means that nothing was written. */
    suspend fun read(
        target: String,
        extraWait: Duration = Duration.ZERO,
    ): Result<Response, StoreError> {
        val answer = call(UpstreamRequest("GET", target), extraWait).getOrElse { return Err(StoreError.Unavailable(it.message)) }
        return general(answer)?.let { Err(it) } ?: Ok(answer)
    }

    /** Makes a write: after a failure in which the platform may have received it the outcome is unknown. */
    suspend fun write(request: UpstreamRequest): Result<Response, StoreError> {
        val answer =
            call(request, Duration.ZERO).getOrElse {
                return Err(if (it is UpstreamError.NotSent) StoreError.Unavailable(it.message) else StoreError.OutcomeUnknown(it.message))
            }
        if (answer.head.status in UNCLEAR_STATUSES) return Err(StoreError.OutcomeUnknown("status ${answer.head.status}"))
        return general(answer)?.let { Err(it) } ?: Ok(answer)
    }

    /** Returns the error of an answer that does not depend on the kind of call, or null. */
    private fun general(answer: Response): StoreError? =
        when (val status = answer.head.status) {
            TOO_MANY_REQUESTS -> StoreError.RateLimited(retryAfter(answer.head.headers))
            SERVICE_UNAVAILABLE -> StoreError.Unavailable("status $status")
            in SERVER_ERRORS -> StoreError.Unavailable("status $status")
            else -> null
        }

    private fun retryAfter(headers: Headers): Duration =
        headers["Retry-After"]?.toDoubleOrNull()?.let { Duration.ofMillis((it * MILLIS_PER_SECOND).toLong()) } ?: DEFAULT_RETRY_AFTER

    private suspend fun call(
        request: UpstreamRequest,
        extraWait: Duration,
    ): Result<Response, UpstreamError> {
        val timeout = settings.callTimeout + extraWait
        val bounded = request.copy(firstByteTimeout = timeout, idleTimeout = timeout)
        return withTimeoutOrNull(timeout.toMillis()) {
            val answer = client.send(settings.address, bounded).getOrElse { return@withTimeoutOrNull Err(it) }
            answer.use { it.readAll(MAX_ANSWER_BYTES).getOrElse { error -> return@withTimeoutOrNull Err(error) } }
                .let { Ok(Response(answer.head, it.decodeToString())) }
        } ?: Err(UpstreamError.OutcomeUnknown(UpstreamError.Reason.FIRST_BYTE_TIMEOUT, "no answer in ${timeout.toMillis()} ms"))
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
        const val MILLIS_PER_SECOND = 1000
        val SERVER_ERRORS = 500..599

        /** A gateway or a failing server may have passed the write on; only 503 says that it was not taken. */
        val UNCLEAR_STATUSES = SERVER_ERRORS - SERVICE_UNAVAILABLE
        val DEFAULT_RETRY_AFTER: Duration = Duration.ofSeconds(1)

        /** A listing holds many objects of up to 1 MB each. */
        const val MAX_ANSWER_BYTES = 64 * 1024 * 1024
    }
}
