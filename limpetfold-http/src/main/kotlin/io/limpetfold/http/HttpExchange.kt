package io.limpetfold.http

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Job

/**
 * One request and its response.
 *
 * May be used from any thread, but the body must have one reader at a time and the response one writer at a time.
 */
interface HttpExchange {
    val head: RequestHead

    /** The caller's IP address. */
    val callerAddress: String

    /** The request body. */
    val body: BodySource

    /**
     * Whether the process was at its limit of buffered bytes when the request arrived; such a request should be refused
     * as not run.
     */
    val isProcessBufferFull: Boolean

    /**
     * Completes when the connection is lost, or the caller half-closes it, before the response ended.
     *
     * The handler's coroutine itself is not cancelled. While the buffer of the request body is full, the connection is
     * not read, so a loss is noticed only by a write or once reading resumes.
     */
    val callerDisconnected: Job

    /** Calls [callback] on an event loop when the caller disconnects, or at once if it already has. */
    fun onCallerDisconnected(callback: () -> Unit): DisposableHandle =
        callerDisconnected.invokeOnCompletion { callback() }

    /** Reads the whole body. Throws [RequestBodyException] with status 413 above [maxBytes]. */
    suspend fun readBody(maxBytes: Int): ByteArray

    /** Sends a complete response. A `Connection: close` in [headers] closes the connection afterwards. */
    suspend fun respond(
        status: Int,
        headers: Headers = Headers.EMPTY,
        body: ByteArray = ByteArray(0),
    )

    /** Starts a streamed response: with the `Content-Length` of [headers] if there is one, otherwise chunked. */
    suspend fun respondStream(
        status: Int,
        headers: Headers = Headers.EMPTY,
    ): ResponseSink
}
