package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.math.max

/** One connection to an endpoint. All mutable state is confined to the channel's event loop. */
internal class ClientConnection(
    val address: HostPort,
    private val channel: Channel,
    private val settings: UpstreamSettings,
    private val budget: BufferBudget,
    private val owner: Owner,
) : ChannelDuplexHandler() {
    private val decoder =
        ResponseDecoder(
            settings.maxHeaderBytes,
            budget.pieceBytes,
            ::acceptBytes,
        ) { exchange?.request?.method == "HEAD" }
    private val singleFields = SingleFields(settings.singleFields + settings.requestIdHeader)
    private val messages = UpstreamMessages(address)
    private val correlation = ResponseCorrelation(settings.requestIdHeader)
    private var exchange: ClientExchange? = null
    private var isUsable = true
    private var isRequestWritten = false
    private var isResponseComplete = false
    private var isResponseKeepAlive = false
    private var isCloseDelimited = false
    private val streamEndCheck = StreamEndCheck(channel)
    private var activityNanos = System.nanoTime()
    private var keepAliveLimit: Duration = settings.pooledIdleTimeout

    /** Adds the handlers of this connection to its channel. */
    fun install() {
        channel.pipeline().addLast(decoder, HttpRequestEncoder(), this)
        scheduleTick()
    }

    /** The result of [start]. */
    sealed interface Start {
        class Started(
            val exchange: ClientExchange,
        ) : Start

        /** No byte was written; the connection can't be used any more. */
        data object Unusable : Start

        /** No byte was written, because of [reason]; the connection can be used for another request. */
        class Withdrawn(
            val reason: String,
        ) : Start
    }

    /**
     * Starts [request] if the connection is still usable and [check] does not withdraw it.
     *
     * The checks and the write run in one step on the event loop. A connection that the endpoint closes before that step
     * is thus detected, and the request can go out on another one.
     */
    suspend fun start(
        request: UpstreamRequest,
        check: SendCheck,
    ): Start {
        val started = CompletableDeferred<Start>()
        channel.eventLoop().execute {
            try {
                started.complete(startOnEventLoop(request, check))
            } catch (e: Exception) {
                // The check failed before anything was written; the caller must not wait for ever.
                discard()
                started.completeExceptionally(e)
            }
        }
        return withContext(NonCancellable) { started.await() }
    }

    /** Writes the end of a streamed request body. */
    fun endRequest(ended: ClientExchange) {
        channel.eventLoop().execute {
            if (exchange === ended) {
                channel.writeAndFlush(DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)).addListener {
                    if (it.isSuccess) onRequestWritten()
                }
            }
        }
    }

    /**
     * Ends the exchange [ended]; the result completes once the connection is back in the pool or discarded.
     *
     * The connection returns to the pool only if the request and the response were complete and no surplus bytes were
     * received.
     */
    fun release(
        ended: ClientExchange,
        isReadToEnd: Boolean,
    ): Deferred<Unit> {
        val released = CompletableDeferred<Unit>()
        channel.eventLoop().execute {
            if (exchange === ended) {
                exchange = null
                ended.bodyJob?.cancel()
                val isReusable =
                    isReadToEnd &&
                        isResponseComplete &&
                        isRequestWritten &&
                        isResponseKeepAlive &&
                        !correlation.hasDropped &&
                        decoder.undecodedBytes == 0
                activityNanos = System.nanoTime()
                if (isReusable && isUsable && channel.isActive) {
                    channel.config().isAutoRead = true
                    owner.onIdle(this)
                } else {
                    discard()
                }
            }
            released.complete(Unit)
        }
        return released
    }

    /** Closes the connection. */
    fun discard() {
        channel.eventLoop().execute {
            isUsable = false
            channel.close()
        }
    }

    /** Stops reading while the running exchange has no room, and resumes it afterwards. */
    fun updateAutoRead() {
        channel.config().isAutoRead = exchange?.hasRoom != false
    }

    /** Fails the running exchange and closes the connection. */
    fun fail(failure: UpstreamException) {
        channel.eventLoop().execute { failNow(failure) }
    }

    /**
     * Fails the exchange of a request that can't be written: the endpoint has reset the connection, and a later end of
     * the stream does not mean that the endpoint ended its response.
     */
    override fun write(
        ctx: ChannelHandlerContext,
        msg: Any,
        promise: ChannelPromise,
    ) {
        val written = promise.unvoid()
        written.addListener { done ->
            done.cause()?.let { onConnectionLost("the request can't be written: ${it.message}") }
        }
        ctx.write(msg, written)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        try {
            if (msg is HttpResponse) onHead(msg)
            if (msg is HttpContent) onContent(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) = updateAutoRead()

    override fun channelInactive(ctx: ChannelHandlerContext) {
        onConnectionLost("the endpoint closed the connection")
        owner.onClosed(this)
        ctx.fireChannelInactive()
    }

    @Deprecated("Deprecated in Netty", ReplaceWith(""))
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        onConnectionLost(cause.message.orEmpty())
    }

    private fun acceptBytes(bytes: ByteBuf): Boolean {
        activityNanos = System.nanoTime()
        val isExpected = isUsable && exchange != null && !isResponseComplete
        if (!isExpected && isUsable && bytes.isReadable) onUnsolicited()
        return isExpected
    }

    /** Fails the exchange before the next bytes are decoded, which may be another response in the same segment. */
    private fun failNow(failure: UpstreamException) {
        isUsable = false
        exchange?.fail(failure)
        channel.close()
    }

    private fun onConnectionLost(detail: String) {
        if (!isResponseComplete) {
            exchange?.fail(UpstreamException(UpstreamError.Reason.CONNECTION_CLOSED, "$address: $detail"))
        }
        isUsable = false
        channel.close()
    }

    private fun onUnsolicited() {
        isUsable = false
        owner.onUnsolicitedBytes(this)
        // A complete response that its reader has not taken yet is still delivered: surplus bytes after it don't
        // invalidate it.
        if (exchange == null) channel.close()
    }

    private fun startOnEventLoop(
        request: UpstreamRequest,
        check: SendCheck,
    ): Start {
        if (!isUsable || !channel.isActive || exchange != null) return Start.Unusable
        if (System.nanoTime() - activityNanos > keepAliveLimit.toNanos()) {
            discard()
            return Start.Unusable
        }
        check.withdrawal()?.let { return Start.Withdrawn(it) }
        val started = ClientExchange(request, this, channel, budget, settings.requestIdHeader)
        exchange = started
        correlation.onRequest()
        isRequestWritten = false
        isResponseComplete = false
        streamEndCheck.onRequest(request.body)
        activityNanos = System.nanoTime()
        val body = request.body
        if (body is UpstreamBody.Stream) {
            channel.writeAndFlush(messages.head(request))
        } else {
            val bytes = (body as? UpstreamBody.Bytes)?.bytes ?: ByteArray(0)
            budget.add(bytes.size, 0)
            channel.writeAndFlush(messages.whole(request, bytes)).addListener {
                budget.remove(bytes.size, 0)
                if (it.isSuccess) onRequestWritten()
            }
        }
        return Start.Started(started)
    }

    private fun onRequestWritten() {
        isRequestWritten = true
        activityNanos = System.nanoTime()
        streamEndCheck.onRequestWritten()
    }

    private fun onHead(response: HttpResponse) {
        val running = exchange ?: return discard()
        if (!isUsable) return
        if (response.decoderResult().isFailure) return failNow(malformed("the head is malformed"))
        val status = response.status().code()
        if (status == CONTINUE) return
        if (running.isHeadReceived) return onUnsolicited()
        val headers = Headers.of(response.headers().entries().map { it.key to it.value })
        val framing = ResponseFraming(running.request.method, status, headers)
        framing.problem(settings.acceptsCloseDelimitedResponses)?.let { return failNow(malformed(it)) }
        if (!correlation.isOwn(running, headers)) return onForeignHead()
        val repeatedField = singleFields.repeatedIn(response.headers())
        if (repeatedField != null) return failNow(malformed("the field $repeatedField stands more than once"))
        isCloseDelimited = framing.isCloseDelimited
        isResponseKeepAlive = HttpUtil.isKeepAlive(response) && !isCloseDelimited
        // The endpoint may read the rest of the request after the end of its response.
        if (isCloseDelimited) channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        keepAliveLimit = keepAliveLimit(headers, settings)
        running.onHead(ResponseHead(status, headers))
    }

    private fun onForeignHead() {
        owner.onIdentityMismatch(this)
        if (!correlation.dropResponse()) failMismatch()
    }

    private fun onContent(content: HttpContent) {
        val running = exchange ?: return
        if (correlation.isDropping) return dropContent(content)
        if (!isUsable || !running.isHeadReceived || isResponseComplete) return
        if (content.decoderResult().isFailure) return failNow(malformed("the body is malformed"))
        running.onPiece(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) onBodyEnd(running)
    }

    private fun onBodyEnd(running: ClientExchange) {
        when {
            !isCloseDelimited -> complete(running)
            // The decoder also ends the response when this side closes the connection.
            !channel.isActive -> Unit
            else ->
                streamEndCheck.onEndOfStream { isWhole ->
                    if (isWhole) complete(running) else onConnectionLost("the endpoint reset the connection")
                }
        }
    }

    private fun complete(running: ClientExchange) {
        isResponseComplete = true
        running.onEnd()
    }

    private fun dropContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return failNow(malformed("the body is malformed"))
        if (!correlation.dropContent(content.content().readableBytes(), content is LastHttpContent)) failMismatch()
    }

    private fun failMismatch() =
        failNow(UpstreamException(UpstreamError.Reason.IDENTITY_MISMATCH, "$address answered another request"))

    private fun malformed(detail: String) =
        UpstreamException(UpstreamError.Reason.MALFORMED_ANSWER, "$address: $detail")

    private fun scheduleTick() {
        val running = exchange
        val shortest = minOf(firstByteTimeout(running), idleTimeout(running), keepAliveLimit)
        val maxTickMillis = if (running == null) MAX_IDLE_TICK_MILLIS else MAX_TICK_MILLIS
        val tickMillis = (shortest.toMillis() / TICKS_PER_TIMEOUT).coerceIn(MIN_TICK_MILLIS, maxTickMillis)
        channel.eventLoop().schedule(::tick, tickMillis, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        if (!channel.isActive) return
        val now = System.nanoTime()
        val running = exchange
        if (running == null) {
            if (now - activityNanos > keepAliveLimit.toNanos()) discard()
        } else if (!isResponseComplete) {
            checkRunning(running, now)
        }
        scheduleTick()
    }

    private fun checkRunning(
        running: ClientExchange,
        now: Long,
    ) {
        val isReading = isRequestWritten && !streamEndCheck.isPending && channel.config().isAutoRead
        val isWriting = !isRequestWritten && (running.request.body !is UpstreamBody.Stream || !running.outbound.isEmpty)
        val sinceActivityNanos =
            now - max(activityNanos, if (isWriting) running.outbound.progressNanos else activityNanos)
        when {
            isReading && !running.isHeadReceived ->
                if (sinceActivityNanos > firstByteTimeout(running).toNanos()) {
                    fail(UpstreamException(UpstreamError.Reason.FIRST_BYTE_TIMEOUT, "$address sent no answer in time"))
                }
            isReading || isWriting ->
                if (sinceActivityNanos > idleTimeout(running).toNanos()) {
                    fail(
                        UpstreamException(
                            UpstreamError.Reason.IDLE_TIMEOUT,
                            "$address neither took nor gave a byte in time",
                        ),
                    )
                }
        }
        // While back-pressure stops reading, the delay is the reader's, so it must not count towards the endpoint's
        // timeouts.
        if (isRequestWritten && !isReading) activityNanos = now
    }

    private fun firstByteTimeout(running: ClientExchange?): Duration =
        running?.request?.firstByteTimeout ?: settings.firstByteTimeout

    private fun idleTimeout(running: ClientExchange?): Duration = running?.request?.idleTimeout ?: settings.idleTimeout

    /** The pool that owns the connection; called on the connection's event loop. */
    interface Owner {
        fun onIdle(connection: ClientConnection)

        fun onClosed(connection: ClientConnection)

        fun onUnsolicitedBytes(connection: ClientConnection)

        fun onIdentityMismatch(connection: ClientConnection)
    }

    private companion object {
        const val CONTINUE = 100
        const val TICKS_PER_TIMEOUT = 4
        const val MIN_TICK_MILLIS = 10L
        const val MAX_TICK_MILLIS = 250L

        /** An idle connection only has its idle limit to check, and a router holds many of them. */
        const val MAX_IDLE_TICK_MILLIS = 1_000L
    }
}
