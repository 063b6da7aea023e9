package io.limpetfold.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.http.Headers
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.store.StoreError
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/** Calls the platform over HTTP and maps failures to [StoreError]. */
class PlatformClient(
    private val client: UpstreamClient,
    private val settings: PlatformSettings,
) {
    /** A response of the platform with its whole body. */
    class Response(
        val head: ResponseHead,
        val body: String,
    )

    /**
     * Sends a GET request, which writes nothing: a failure never has an unknown outcome, and the call can be retried.
     *
     * [extraWait] is added to the timeout.
     */
    suspend fun read(
        target: String,
        extraWait: Duration = Duration.ZERO,
    ): Result<Response, StoreError> {
        val response =
            call(UpstreamRequest("GET", target), extraWait).getOrElse {
                return Err(StoreError.Unavailable(it.message))
            }
        return commonError(response)?.let { Err(it) } ?: Ok(response)
    }

    /**
     * Sends a write. If it fails after the platform may have received it, the error is [StoreError.OutcomeUnknown]. A
     * body above [PlatformSettings.maxObjectBytes] is not sent.
     */
    suspend fun write(request: UpstreamRequest): Result<Response, StoreError> {
        tooLarge(request)?.let { return Err(it) }
        val response =
            call(request, Duration.ZERO).getOrElse {
                return Err(
                    if (it is UpstreamError.NotSent) {
                        StoreError.Unavailable(
                            it.message,
                        )
                    } else {
                        StoreError.OutcomeUnknown(it.message)
                    },
                )
            }
        if (response.head.status in
            UNKNOWN_OUTCOME_STATUSES
        ) {
            return Err(StoreError.OutcomeUnknown("status ${response.head.status}"))
        }
        return commonError(response)?.let { Err(it) } ?: Ok(response)
    }

    private fun tooLarge(request: UpstreamRequest): StoreError? {
        val limitBytes = settings.maxObjectBytes ?: return null
        val sizeBytes = (request.body as? UpstreamBody.Bytes)?.bytes?.size ?: return null
        return if (sizeBytes > limitBytes) StoreError.TooLarge(sizeBytes, limitBytes) else null
    }

    /** Returns the error for a status that is handled alike for reads and writes, or null. */
    private fun commonError(response: Response): StoreError? =
        when (val status = response.head.status) {
            TOO_MANY_REQUESTS -> StoreError.RateLimited(retryAfter(response.head.headers))
            SERVICE_UNAVAILABLE -> StoreError.Unavailable("status $status")
            in SERVER_ERRORS -> StoreError.Unavailable("status $status")
            else -> null
        }

    private fun retryAfter(headers: Headers): Duration =
        headers["Retry-After"]?.toDoubleOrNull()?.let { Duration.ofMillis((it * MILLIS_PER_SECOND).toLong()) }
            ?: DEFAULT_RETRY_AFTER

    private suspend fun call(
        request: UpstreamRequest,
        extraWait: Duration,
    ): Result<Response, UpstreamError> {
        val timeout = settings.callTimeout + extraWait
        val requestWithTimeouts = request.copy(firstByteTimeout = timeout, idleTimeout = timeout)
        return withTimeoutOrNull(timeout.toMillis()) {
            val response =
                client
                    .send(
                        settings.address,
                        requestWithTimeouts,
                    ).getOrElse { return@withTimeoutOrNull Err(it) }
            response
                .use { it.readAll(MAX_RESPONSE_BYTES).getOrElse { error -> return@withTimeoutOrNull Err(error) } }
                .let { Ok(Response(response.head, it.decodeToString())) }
        }
            ?: Err(
                UpstreamError.OutcomeUnknown(
                    UpstreamError.Reason.FIRST_BYTE_TIMEOUT,
                    "no answer in ${timeout.toMillis()} ms",
                ),
            )
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
        const val MILLIS_PER_SECOND = 1000
        val SERVER_ERRORS = 500..599

        /** A proxy or a failing server may have forwarded the write. Only 503 says that it was not accepted. */
        val UNKNOWN_OUTCOME_STATUSES = SERVER_ERRORS - SERVICE_UNAVAILABLE
        val DEFAULT_RETRY_AFTER: Duration = Duration.ofSeconds(1)

        /** A listing holds many objects of up to 1 MB each. */
        const val MAX_RESPONSE_BYTES = 64 * 1024 * 1024
    }
}
