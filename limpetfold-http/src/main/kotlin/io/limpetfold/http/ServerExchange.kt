package io.limpetfold.http

import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.buffer.Unpooled
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicBoolean

/** One request on a [ServerConnection]. */
internal class ServerExchange(
    override val head: RequestHead,
    override val callerAddress: String,
    override val isProcessBufferFull: Boolean,
    private val channel: Channel,
    private val connection: ServerConnection,
    private val traits: Traits,
    budget: BufferBudget,
) : HttpExchange {
    val queue = BodyQueue(budget) { channel.eventLoop().execute { connection.updateRead() } }
    val outbound = OutboundBuffer(channel, budget)
    private val gone = Job()
    private val isContinuePending = AtomicBoolean(traits.expectsContinue)
    private val isBegun = AtomicBoolean()

    @Volatile
    private var isFinishing = false
    private val finished = CompletableDeferred<Unit>()

    /** Whether the head of an answer was written. */
    val isAnswerBegun: Boolean get() = isBegun.get()

    /** Since when a reader waits for the body, or null; only a body that somebody waits for is timed. */
    @Volatile
    var bodyAwaitedSinceNanos: Long? = null
        private set

    /** Whether the connection may carry another request after this one; valid once the answer has begun. */
    @Volatile
    var isKeepAlive = traits.isKeepAlive
        private set

    override val callerDisconnected: Job get() = gone

    override val body =
        BodySource {
            if (isContinuePending.compareAndSet(true, false) && !isBegun.get()) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
            }
            bodyAwaitedSinceNanos = System.nanoTime()
            try {
                queue.next()
            } finally {
                bodyAwaitedSinceNanos = null
            }
        }

    override suspend fun readBody(maxBytes: Int): ByteArray {
        val whole = ByteArrayOutputStream()
        while (true) {
            val piece = body.next() ?: return whole.toByteArray()
            if (whole.size() + piece.size > maxBytes) throw RequestBodyException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "the body exceeds $maxBytes bytes: send a smaller body")
            whole.write(piece)
        }
    }

    override suspend fun respond(
        status: Int,
        headers: Headers,
        body: ByteArray,
    ) {
        val sink = respondStream(status, headers.with("Content-Length", body.size.toString()))
        if (traits.hasAnswerBody) sink.write(body)
        sink.finish()
    }

    override suspend fun respondStream(
        status: Int,
        headers: Headers,
    ): ResponseSink {
        check(isBegun.compareAndSet(false, true)) { "the exchange already has an answer: answer it once" }
        if (gone.isCompleted) throw CallerDisconnectedException()
        val framing = framing(status, headers)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        headers.withoutHopByHop().entries.forEach { (name, value) -> response.headers().add(name, value) }
        val wantsClose = headers.all("Connection").any { it.equals("close", ignoreCase = true) }
        isKeepAlive = traits.isKeepAlive && framing.isDelimited && !wantsClose && !connection.isDraining
        if (framing.lengthBytes != null) response.headers().set("Content-Length", framing.lengthBytes)
        if (framing.isChunked) HttpUtil.setTransferEncodingChunked(response, true)
        if (!isKeepAlive) response.headers().set("Connection", "close")
        channel.write(response)
        // A head that is the whole answer goes out with the end of the answer; see Sink.
        if (framing.lengthBytes == null && framing.hasBody) channel.flush()
        return Sink(framing.lengthBytes, framing.hasBody)
    }

    private fun framing(
        status: Int,
        headers: Headers,
    ): Framing {
        val isBodiless = status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code()
        val lengthBytes = if (isBodiless) null else headers["Content-Length"]?.toLongOrNull()
        val isChunked = lengthBytes == null && traits.isVersion11 && !isBodiless
        return Framing(lengthBytes, isChunked, isBodiless || isChunked || lengthBytes != null, traits.hasAnswerBody && !isBodiless)
    }

    /** Tells the handler that the connection is lost. */
    fun onConnectionLost() {
        val cause = CallerDisconnectedException()
        queue.fail(cause, afterPieces = false)
        outbound.fail(cause)
        finished.completeExceptionally(cause)
        gone.complete()
    }

    /** Closes the connection; the caller sees a truncated answer. */
    fun close() {
        channel.close()
    }

    /** Closes the connection when the handler began an answer and left it without an end. */
    fun closeIfUnfinished() {
        if (!isFinishing) channel.close()
    }

    /** Resumes the handler after the whole answer was written. */
    fun onAnswerWritten() {
        finished.complete(Unit)
    }

    private class Framing(
        val lengthBytes: Long?,
        val isChunked: Boolean,
        val isDelimited: Boolean,
        val hasBody: Boolean,
    )

    /** What the head of the request says about the answer. */
    class Traits(
        val isVersion11: Boolean,
        val isKeepAlive: Boolean,
        val hasAnswerBody: Boolean,
        val expectsContinue: Boolean,
    )

    /**
     * Holds the last byte of an answer of known length back until the connection is ready for the next request. A caller that has the whole
     * answer may send its next request at once, and that request must not meet the unfinished exchange.
     */
    private inner class Sink(
        private val lengthBytes: Long?,
        private val hasBody: Boolean,
    ) : ResponseSink {
        private var writtenBytes = 0L
        private var lastByte = ByteArray(0)

        override suspend fun write(bytes: ByteArray) {
            check(hasBody || bytes.isEmpty()) { "this answer has no body: write nothing" }
            check(lengthBytes == null || writtenBytes + bytes.size <= lengthBytes) { "the body exceeds its Content-Length: set the right length" }
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
            channel.eventLoop().execute { connection.finishAnswer(this@ServerExchange, end) }
            finished.await()
        }

        override fun abort() {
            channel.close()
        }
    }
}
