package io.limpetfold.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicBoolean

/** One request on a [ServerConnection] and its response. */
internal class ServerExchange(
    override val head: RequestHead,
    override val callerAddress: String,
    override val isProcessBufferFull: Boolean,
    private val channel: Channel,
    private val connection: ServerConnection,
    private val traits: Traits,
    budget: BufferBudget,
) : HttpExchange {
    val inbound = InboundBuffer(budget) { channel.eventLoop().execute { connection.updateAutoRead() } }
    val outbound = OutboundBuffer(channel, budget)
    private val disconnected = Job()
    private val isContinuePending = AtomicBoolean(traits.expectsContinue)
    private val responseStarted = AtomicBoolean()

    @Volatile
    private var isFinishing = false
    private val finished = CompletableDeferred<Unit>()

    /** Whether the handler has started a response. */
    val isResponseStarted: Boolean get() = responseStarted.get()

    /**
     * Since when the handler has been waiting for the request body, or null; the body timeout applies only while it
     * waits.
     */
    @Volatile
    var bodyAwaitedSinceNanos: Long? = null
        private set

    /** Whether the connection may carry another request after this one; valid once the response has started. */
    @Volatile
    var isKeepAlive = traits.isKeepAlive
        private set

    /** Whether the end of the response can be told while the connection is open; valid once the response has started. */
    @Volatile
    var isDelimited = true
        private set

    /** The limits in force when the response head was written; null before that. */
    @Volatile
    var announcedLimits: ConnectionLimits? = null
        private set

    override val callerDisconnected: Job get() = disconnected

    override val body =
        BodySource {
            if (isContinuePending.compareAndSet(true, false) && !responseStarted.get()) {
                channel.writeAndFlush(
                    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                )
            }
            bodyAwaitedSinceNanos = System.nanoTime()
            try {
                inbound.next()
            } finally {
                bodyAwaitedSinceNanos = null
            }
        }

    override suspend fun readBody(maxBytes: Int): ByteArray {
        val collected = ByteArrayOutputStream()
        while (true) {
            val piece = body.next() ?: return collected.toByteArray()
            if (collected.size() + piece.size > maxBytes) {
                throw RequestBodyException(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
                    "the body exceeds $maxBytes bytes: send a smaller body",
                )
            }
            collected.write(piece)
        }
    }

    override suspend fun respond(
        status: Int,
        headers: Headers,
        body: ByteArray,
    ) {
        val sink = respondStream(status, headers.with("Content-Length", body.size.toString()))
        if (traits.hasResponseBody) sink.write(body)
        sink.finish()
    }

    override suspend fun respondStream(
        status: Int,
        headers: Headers,
    ): ResponseSink {
        check(responseStarted.compareAndSet(false, true)) { "the exchange already has a response: respond once" }
        if (disconnected.isCompleted) throw CallerDisconnectedException()
        val framing = framing(status, headers)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        headers.withoutHopByHop().entries.forEach { (name, value) -> response.headers().add(name, value) }
        val wantsClose = headers.all("Connection").any { it.equals("close", ignoreCase = true) }
        // The rest of a body that the handler did not wait for is dropped together with the connection.
        val isReusable = framing.isDelimited && !isBodyPending() && !connection.isDraining
        isKeepAlive = traits.isKeepAlive && isReusable && !wantsClose
        if (framing.lengthBytes != null) response.headers().set("Content-Length", framing.lengthBytes)
        if (framing.isChunked) HttpUtil.setTransferEncodingChunked(response, true)
        if (isKeepAlive) announceIdleTimeout(response) else response.headers().set("Connection", "close")
        isDelimited = framing.isDelimited
        // Until it is finished, the response must not look complete when the connection or the process ends.
        if (!isDelimited) channel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
        channel.write(response)
        // Only a head that a body of unknown length follows is flushed at once. Any other one could complete the
        // response before the connection is ready for the next request; see Sink.
        if (framing.lengthBytes == null && framing.hasBody) channel.flush()
        return Sink(framing.lengthBytes, framing.hasBody)
    }

    private fun announceIdleTimeout(response: HttpResponse) {
        val limits = connection.currentLimits
        announcedLimits = limits
        if (limits.announcesIdleTimeout) {
            response.headers().set(
                "Keep-Alive",
                "timeout=${limits.idleTimeout.toSeconds()}",
            )
        }
    }

    /** Whether a part of the request body has not been received; what has been is decoded first. */
    private suspend fun isBodyPending(): Boolean {
        if (!traits.hasRequestBody || connection.isRequestComplete) return false
        val isDecoded = CompletableDeferred<Unit>()
        channel.eventLoop().execute { isDecoded.complete(Unit) }
        isDecoded.await()
        return !connection.isRequestComplete
    }

    private fun framing(
        status: Int,
        headers: Headers,
    ): Framing {
        val isBodiless =
            status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code()
        val lengthBytes = if (isBodiless) null else headers["Content-Length"]?.toLongOrNull()
        val isChunked = lengthBytes == null && traits.isVersion11 && !isBodiless
        return Framing(
            lengthBytes,
            isChunked,
            isBodiless || isChunked || lengthBytes != null,
            traits.hasResponseBody && !isBodiless,
        )
    }

    /** Fails the handler's reads and writes after the connection was lost. */
    fun onConnectionLost() {
        val cause = CallerDisconnectedException()
        inbound.fail(cause, afterBufferedPieces = false)
        outbound.fail(cause)
        finished.completeExceptionally(cause)
        disconnected.complete()
    }

    /** Closes the connection, so that the caller can tell that the response is truncated. */
    fun close() {
        channel.close()
    }

    /** Closes the connection if the handler left its response unfinished. */
    fun closeIfUnfinished() {
        if (!isFinishing) channel.close()
    }

    /** Resumes the handler after the whole response was written. */
    fun onResponseWritten() {
        finished.complete(Unit)
    }

    private class Framing(
        val lengthBytes: Long?,
        val isChunked: Boolean,
        val isDelimited: Boolean,
        val hasBody: Boolean,
    )

    /** What the request head implies for the response. */
    class Traits(
        val isVersion11: Boolean,
        val isKeepAlive: Boolean,
        val hasRequestBody: Boolean,
        val hasResponseBody: Boolean,
        val expectsContinue: Boolean,
    )

    /**
     * Writes the response body.
     *
     * The last byte of a response of known length is held back until the connection is ready for the next request. A
     * caller that has the whole response may send its next request at once, and that request would be refused as
     * pipelined if the exchange were unfinished.
     */
    private inner class Sink(
        private val lengthBytes: Long?,
        private val hasBody: Boolean,
    ) : ResponseSink {
        private var writtenBytes = 0L
        private var lastByte = ByteArray(0)

        override suspend fun write(bytes: ByteArray) {
            check(hasBody || bytes.isEmpty()) { "this response has no body: write nothing" }
            check(lengthBytes == null || writtenBytes + bytes.size <= lengthBytes) {
                "the body exceeds its Content-Length: set the right length"
            }
            if (bytes.isEmpty()) return
            writtenBytes += bytes.size
            val isEnd = writtenBytes == lengthBytes
            if (isEnd) lastByte = bytes.copyOfRange(bytes.size - 1, bytes.size)
            val sent = if (isEnd) bytes.copyOf(bytes.size - 1) else bytes
            if (sent.isNotEmpty()) outbound.write(sent)
        }

        override suspend fun finish() {
            if (hasBody && lengthBytes != null && writtenBytes != lengthBytes) {
                abort()
                error("the body has $writtenBytes of $lengthBytes bytes: set the right Content-Length")
            }
            isFinishing = true
            val end = DefaultLastHttpContent(Unpooled.wrappedBuffer(lastByte))
            channel.eventLoop().execute { connection.finishResponse(this@ServerExchange, end) }
            finished.await()
        }

        override fun abort() {
            channel.close()
        }
    }

    private companion object {
        /** With this linger time in seconds, closing a socket resets its connection. */
        const val RESET_ON_CLOSE = 0
    }
}
