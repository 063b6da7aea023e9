package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeUnit

/** One caller's connection; all state belongs to its event loop. */
internal class ServerConnection(
    private val server: HttpServer,
    private val settings: HttpServerSettings,
    private val budget: BufferBudget,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val check = RequestCheck(settings)
    private var exchange: ServerExchange? = null
    private var isRequestComplete = true
    private val folds = FoldScanner()
    private var isPipelined = false
    private var isClosing = false
    private var bodyBytes = 0L
    private var headStartNanos: Long? = null
    private var activityNanos = System.nanoTime()

    val isDraining: Boolean get() = server.isDraining

    /** Encodes answers; an answer to `HEAD` has no body whatever its header fields say. */
    val encoder =
        object : HttpResponseEncoder() {
            override fun isContentAlwaysEmpty(msg: HttpResponse): Boolean =
                exchange?.head?.method == HttpMethod.HEAD.name() || super.isContentAlwaysEmpty(msg)
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        scheduleTick()
        ctx.fireChannelActive()
    }

    /** Sees raw bytes before the decoder; returns false when they are to be dropped. */
    fun acceptBytes(bytes: ByteBuf): Boolean {
        activityNanos = System.nanoTime()
        return when {
            isClosing -> false
            exchange != null && isRequestComplete -> {
                markPipelined()
                false
            }
            else -> {
                if (exchange == null && headStartNanos == null && bytes.isReadable) headStartNanos = activityNanos
                if (exchange == null) folds.scan(bytes)
                true
            }
        }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        try {
            if (isClosing) return
            if (msg is HttpRequest) onHead(msg)
            if (msg is HttpContent) onContent(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) = updateRead()

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        exchange?.let {
            exchange = null
            it.onConnectionLost()
        }
        ctx.fireChannelInactive()
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        evt: Any,
    ) {
        if (evt !is ChannelInputShutdownEvent) return ctx.fireUserEventTriggered(evt).let {}
        // A caller that ends its side while a request runs has gone; an unfinished head can still be answered.
        if (exchange == null && headStartNanos != null && !isClosing) {
            refuse(RequestCheck.Refusal(HttpResponseStatus.BAD_REQUEST, "the request head is truncated", "send the whole head"))
        } else {
            ctx.close()
        }
    }

    @Deprecated("Deprecated in Netty", ReplaceWith(""))
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        LOGGER.debug("http: connection closed cause={}", cause.toString())
        ctx.close()
    }

    /** Closes the connection unless a request runs on it or has begun to arrive; call it on the event loop. */
    fun closeIfIdle() {
        if (exchange == null && headStartNanos == null && !isClosing) context.close()
    }

    /** Reads while the running request has room, and afterwards only to notice that the caller goes. */
    fun updateRead() {
        val running = exchange
        val mayRead = isClosing || running == null || (isRequestComplete && !isPipelined) || (!isRequestComplete && running.queue.hasRoom)
        context.channel().config().isAutoRead = mayRead
    }

    /** Writes the end of an answer and prepares the connection for the next request, or closes it. */
    fun finishAnswer(
        answered: ServerExchange,
        last: LastHttpContent,
    ) {
        if (exchange !== answered) {
            ReferenceCountUtil.release(last)
            return
        }
        val mayContinue = answered.isKeepAlive && isRequestComplete && !isPipelined
        exchange = null
        activityNanos = System.nanoTime()
        answered.queue.discard()
        if (!mayContinue) isClosing = true
        context.writeAndFlush(last).addListener { done ->
            if (done.isSuccess) answered.onAnswerWritten() else answered.onConnectionLost()
            if (!mayContinue) {
                if (isPipelined) writeRefusal(PIPELINED) else lingerAndClose()
            }
        }
        updateRead()
    }

    private fun onHead(request: HttpRequest) {
        headStartNanos = null
        if (exchange != null) return markPipelined()
        val refusal = if (folds.isFolded) FOLDED else check.refusal(request)
        folds.reset()
        if (refusal != null) return refuse(refusal)
        if (budget.isFull) budget.noteRequestAtLimit()
        val headers = Headers.of(request.headers().entries().map { it.key to it.value })
        val started =
            ServerExchange(
                head = RequestHead(request.method().name(), request.uri(), headers),
                callerAddress = (context.channel().remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty(),
                isProcessBufferFull = budget.isFull,
                channel = context.channel(),
                connection = this,
                traits =
                    ServerExchange.Traits(
                        isVersion11 = request.protocolVersion() == HttpVersion.HTTP_1_1,
                        isKeepAlive = HttpUtil.isKeepAlive(request) && request.protocolVersion() == HttpVersion.HTTP_1_1,
                        hasAnswerBody = request.method() != HttpMethod.HEAD,
                        expectsContinue = HttpUtil.is100ContinueExpected(request),
                    ),
                budget = budget,
            )
        exchange = started
        isRequestComplete = false
        bodyBytes = 0
        server.start(started)
    }

    private fun onContent(content: HttpContent) {
        val running = exchange ?: return
        if (isRequestComplete) return markPipelined()
        if (content.decoderResult().isFailure) {
            return running.queue.fail(RequestBodyException(BAD_REQUEST, "the body is malformed: send valid chunks"), afterPieces = false)
        }
        bodyBytes += content.content().readableBytes()
        if (bodyBytes > settings.maxBodyBytes) {
            val tooLarge = RequestBodyException(TOO_LARGE, "the body exceeds ${settings.maxBodyBytes} bytes: send a smaller body")
            return running.queue.fail(tooLarge, afterPieces = false)
        }
        running.queue.offer(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) {
            isRequestComplete = true
            running.queue.end()
        }
    }

    private fun markPipelined() {
        isPipelined = true
        updateRead()
    }

    private fun refuse(refusal: RequestCheck.Refusal) {
        isClosing = true
        writeRefusal(refusal)
    }

    private fun writeRefusal(refusal: RequestCheck.Refusal) {
        val body = Unpooled.wrappedBuffer(ErrorBody.encode("invalid_request", refusal.message, refusal.remedy, ran = "no"))
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status, body)
        response.headers().set("Content-Type", "application/json")
        response.headers().set("Content-Length", body.readableBytes())
        response.headers().set("Connection", "close")
        context.writeAndFlush(response).addListener { lingerAndClose() }
    }

    /** Closing a socket with unread bytes resets it and can destroy the answer under way, so input is dropped for a while first. */
    private fun lingerAndClose() {
        val channel = context.channel()
        if (!channel.isActive) return
        updateRead()
        (channel as? SocketChannel)?.shutdownOutput()
        channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun scheduleTick() {
        val shortest = minOf(settings.headerTimeout, settings.idleTimeout, minOf(settings.bodyIdleTimeout, settings.writeIdleTimeout))
        val tickMillis = (shortest.toMillis() / TICKS_PER_TIMEOUT).coerceIn(MIN_TICK_MILLIS, MAX_TICK_MILLIS)
        context.channel().eventLoop().schedule(::tick, tickMillis, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        if (!context.channel().isActive) return
        val now = System.nanoTime()
        val running = exchange
        val headStart = headStartNanos
        when {
            isClosing -> Unit
            running != null -> checkRunning(running, now)
            headStart != null && isOver(headStart, now, settings.headerTimeout) ->
                refuse(RequestCheck.Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "the request head took too long", "send the head at once"))
            headStart == null && isOver(activityNanos, now, settings.idleTimeout) -> context.close()
        }
        scheduleTick()
    }

    private fun checkRunning(
        running: ServerExchange,
        now: Long,
    ) {
        val awaitedSince = running.bodyAwaitedSinceNanos
        val isBodyAwaited = !isRequestComplete && awaitedSince != null
        if (isBodyAwaited && isOver(maxOf(activityNanos, awaitedSince), now, settings.bodyIdleTimeout)) {
            running.queue.fail(RequestBodyException(TIMEOUT, "the body took too long: send it without pauses"), afterPieces = false)
        }
        if (!running.outbound.isEmpty && isOver(running.outbound.progressNanos, now, settings.writeIdleTimeout)) {
            LOGGER.info("http: caller takes no bytes, closed idleMillis={}", settings.writeIdleTimeout.toMillis())
            context.close()
        }
    }

    private fun isOver(
        startNanos: Long,
        nowNanos: Long,
        limit: Duration,
    ): Boolean = nowNanos - startNanos > limit.toNanos()

    private companion object {
        val LOGGER = LoggerFactory.getLogger(ServerConnection::class.java)
        val PIPELINED =
            RequestCheck.Refusal(HttpResponseStatus.BAD_REQUEST, "a second request arrived before the answer ended", "wait for the answer before the next request")
        val FOLDED =
            RequestCheck.Refusal(HttpResponseStatus.BAD_REQUEST, "a header field is folded over lines", "send each field on one line")
        const val BAD_REQUEST = 400
        const val TIMEOUT = 408
        const val TOO_LARGE = 413
        const val LINGER_MILLIS = 500L
        const val TICKS_PER_TIMEOUT = 4
        const val MIN_TICK_MILLIS = 20L
        const val MAX_TICK_MILLIS = 1000L
    }
}
