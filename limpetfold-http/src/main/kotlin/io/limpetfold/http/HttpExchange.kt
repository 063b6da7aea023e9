package io.limpetfold.http

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Job

/** One request and its answer; safe for use from any thread, but the body and the answer have one user at a time. */
interface HttpExchange {
    val head: RequestHead

    /** The caller's IP address. */
    val callerAddress: String

    /** The request body. */
    val body: BodySource

    /** True when the process held its bound of buffered bytes as the request arrived; such a request should be refused as not run. */
    val isProcessBufferFull: Boolean

    /**
     * Completes when the connection is lost, or the caller ends its side of it, before the answer ended.
     *
     * The handler's coroutine itself is not cancelled. While the body holds its bound of unread bytes the connection is not read, so that
     * the loss is noticed only by a write or when reading goes on.
     */
    val callerDisconnected: Job

    /** Calls [callback] on an event loop when the caller has gone, at once if it has already. */
    fun onCallerDisconnected(callback: () -> Unit): DisposableHandle = callerDisconnected.invokeOnCompletion { callback() }

    /** Reads the whole body. Throws [RequestBodyException] with status 413 above [maxBytes]. */
    suspend fun readBody(maxBytes: Int): ByteArray

    /** Answers with [body]. A `Connection: close` in [headers] closes the connection afterwards. */
    suspend fun respond(
        status: Int,
        headers: Headers = Headers.EMPTY,
        body: ByteArray = ByteArray(0),
    )

    /** Starts a streamed answer: with the `Content-Length` of [headers] when there is one, else chunked. */
    suspend fun respondStream(
        status: Int,
        headers: Headers = Headers.EMPTY,
    ): ResponseSink
}
