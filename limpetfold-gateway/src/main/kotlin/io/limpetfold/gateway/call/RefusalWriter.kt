package io.limpetfold.gateway.call

import io.limpetfold.http.ErrorBody
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestBodyException
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.util.Locale
import kotlin.random.Random

/** Writes the responses to calls that the router refuses. */
internal class RefusalWriter(
    private val policy: CallPolicy,
    private val random: Random,
    private val notRunHeaders: Headers,
) {
    /**
     * Responds to [exchange] with [reason] and [message]; [requestIdHeader] is echoed. `Retry-After` is [retryAfter] if it is known;
     * otherwise [remaining], the time until the deadline of the call, limits it.
     */
    suspend fun write(
        exchange: HttpExchange,
        reason: RefusalReason,
        requestIdHeader: Pair<String, String>?,
        remaining: Duration?,
        retryAfter: Duration? = null,
        message: String = reason.message,
    ) {
        var headers = ErrorBody.HEADERS
        if (reason.ran == "no") headers = Headers.of(headers.entries + notRunHeaders.entries)
        if (requestIdHeader != null) headers = headers.with(requestIdHeader.first, requestIdHeader.second)
        if (reason.isTransient) headers = headers.with("Retry-After", retryAfterSeconds(remaining, retryAfter))
        val body = ErrorBody.encode(reason.type, message, reason.remedy, reason.ran, requestIdHeader?.second)
        exchange.respond(reason.status, headers, body)
    }

    /** Reads and discards a short request body, so that the caller's connection can be reused for the next request. */
    suspend fun drain(exchange: HttpExchange) {
        try {
            withTimeoutOrNull(DRAIN_TIMEOUT.toMillis()) { exchange.readBody(MAX_DRAINED_BYTES) }
        } catch (_: RequestBodyException) {
            // Nothing to do: the response closes a connection whose request body was not read to its end.
        }
    }

    private fun retryAfterSeconds(
        remaining: Duration?,
        known: Duration?,
    ): String {
        if (known != null) return seconds(known.toMillis())
        val spread = policy.retryAfterMax.toMillis() - policy.retryAfterMin.toMillis()
        val millis = policy.retryAfterMin.toMillis() + random.nextLong(spread + 1)
        val maxMillis = remaining?.let { (it.toMillis() / REMAINING_TIME_DIVISOR).coerceAtLeast(1) } ?: millis
        return seconds(minOf(millis, maxMillis))
    }

    private fun seconds(millis: Long): String = String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)

    private companion object {
        const val MAX_DRAINED_BYTES = 256 * 1024
        const val MILLIS_PER_SECOND = 1000.0

        /** Callers honour a `Retry-After` of up to a third of their remaining time. */
        const val REMAINING_TIME_DIVISOR = 3
        val DRAIN_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
