package io.limpetfold.gateway.call

import io.limpetfold.http.ErrorBody
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestBodyException
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.util.Locale
import kotlin.random.Random

/** Writes the router's own answers. */
internal class RefusalWriter(
    private val policy: CallPolicy,
    private val random: Random,
) {
    /** Answers [exchange] with [reason]; [requestHeader] echoes the identity of the request. */
    suspend fun write(
        exchange: HttpExchange,
        reason: RefusalReason,
        requestHeader: Pair<String, String>?,
        remaining: Duration?,
    ) {
        var headers: Headers = ErrorBody.HEADERS
        if (requestHeader != null) headers = headers.with(requestHeader.first, requestHeader.second)
        if (reason.isTransient) headers = headers.with("Retry-After", retryAfterSeconds(remaining))
        val body = ErrorBody.encode(reason.type, reason.message, reason.remedy, reason.ran, requestHeader?.second)
        exchange.respond(reason.status, headers, body)
    }

    /** Reads a short body that is under way, so that the caller's connection can carry its next request. */
    suspend fun drain(exchange: HttpExchange) {
        try {
            withTimeoutOrNull(DRAIN_WAIT.toMillis()) { exchange.readBody(DRAINED_BYTES) }
        } catch (_: RequestBodyException) {
            // The answer closes the connection, which is all that a body that is not read to its end needs.
        }
    }

    private fun retryAfterSeconds(remaining: Duration?): String {
        val spread = policy.retryAfterMax.toMillis() - policy.retryAfterMin.toMillis()
        val millis = policy.retryAfterMin.toMillis() + random.nextLong(spread + 1)
        val bound = remaining?.let { (it.toMillis() / HONOURED_PART).coerceAtLeast(1) } ?: millis
        return String.format(Locale.ROOT, "%.3f", minOf(millis, bound) / MILLIS_PER_SECOND)
    }

    private companion object {
        const val DRAINED_BYTES = 256 * 1024
        const val MILLIS_PER_SECOND = 1000.0

        /** Callers wait as told up to a third of the time that they have left. */
        const val HONOURED_PART = 3
        val DRAIN_WAIT: Duration = Duration.ofMillis(300)
    }
}
