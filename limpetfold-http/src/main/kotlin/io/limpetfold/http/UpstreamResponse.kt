package io.limpetfold.http

import com.github.michaelbull.result.Result

/** The response of an endpoint; a reader that stops before the end must [close] it. */
interface UpstreamResponse : AutoCloseable {
    val head: ResponseHead

    /** Returns the next piece of the body, or null at its end, after which the connection may be used again. */
    suspend fun next(): Result<ByteArray?, UpstreamError>

    /**
     * Reads the rest of the body; more than [maxBytes] is a [UpstreamError.IncompleteResponse] and closes the
     * connection.
     */
    suspend fun readAll(maxBytes: Int): Result<ByteArray, UpstreamError>

    /** Ends the exchange; the connection is closed unless the response was read to its end. */
    override fun close()
}
