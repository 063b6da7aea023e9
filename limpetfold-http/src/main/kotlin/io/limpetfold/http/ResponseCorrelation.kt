package io.limpetfold.http

/**
 * Tells the response to the running request of a connection from repeated responses to earlier ones, which a faulty
 * endpoint may send where the next response is expected.
 *
 * A response that does not bear the id of the running request is dropped, within a limit, since the request's own
 * response may follow. The first request of a connection has no earlier ones, so that there it is an error at once.
 */
internal class ResponseCorrelation(
    private val requestIdHeader: String,
) {
    private var requestCount = 0
    private var droppedCount = 0
    private var droppedBytes = 0L

    /** Whether the response that is being received is dropped. */
    var isDropping = false
        private set

    /** Whether a response was dropped; the connection is then not used for another request. */
    val hasDropped: Boolean get() = droppedCount > 0

    /** A request is about to be written. */
    fun onRequest() {
        requestCount++
    }

    /** Whether a response with [headers] answers [running]. */
    fun isOwn(
        running: ClientExchange,
        headers: Headers,
    ): Boolean {
        val sent = running.requestId ?: return true
        val echo = headers[requestIdHeader] ?: return running.request.requestIdEcho != RequestIdEcho.REQUIRED
        return echo == sent
    }

    /** Drops the response whose head was received; returns false if that is not allowed here, or once too often. */
    fun dropResponse(): Boolean {
        if (requestCount < 2 || droppedCount >= MAX_DROPPED_RESPONSES) return false
        droppedCount++
        isDropping = true
        return true
    }

    /** Drops [bytes] of the body of a dropped response; returns false if they are too many. */
    fun dropContent(
        bytes: Int,
        isLast: Boolean,
    ): Boolean {
        droppedBytes += bytes
        if (isLast) isDropping = false
        return droppedBytes <= MAX_DROPPED_BYTES
    }

    private companion object {
        const val MAX_DROPPED_RESPONSES = 4
        const val MAX_DROPPED_BYTES = 64 * 1024
    }
}
