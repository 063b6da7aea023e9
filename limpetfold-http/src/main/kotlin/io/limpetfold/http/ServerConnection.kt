package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeUnit

/** One connection of a caller. All mutable state is confined to the channel's event loop. */
internal class ServerConnection(
    private val server: HttpServer,
    private val settings: HttpServerSettings,
    private val limits: ConnectionLimitsSource,
    private val budget: BufferBudget,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private lateinit var finalResponse: FinalResponse
    private val check = RequestCheck(settings)
    private var exchange: ServerExchange? = null

    /** Whether the body of the last request was received to its end. */
    @Volatile
    var isRequestComplete = true
        private set

    private val headScanner = HeadScanner()

    /** The limits of the request that is arriving or running. */
    private var requestLimits = limits.current()
    private val idleAllowance = IdleAllowance(requestLimits)

    /** Whether the end of the latest response is still to be written, because the caller reads slowly. */
    private var isResponseEndPending = false

    /** Whether the connection closes once the end of the latest response is written. */
    private var isCloseAfterResponse = false

    /** Bytes of a request body received since the decoder last produced a piece of it. */
    private var undecodedBytes = 0L
    private var isPipelined = false
    private var isClosing = false
    private var bodyBytes = 0L
    private var headStartNanos: Long? = null
    private var activityNanos = System.nanoTime()

    val isDraining: Boolean get() = server.isDraining

    /** The limits in force; may be read from any thread. */
    val currentLimits: ConnectionLimits get() = limits.current()

    /** Encodes responses; a response to `HEAD` has no body, whatever its header fields say. */
    val encoder =
        object : HttpResponseEncoder() {
            override fun isContentAlwaysEmpty(msg: HttpResponse): Boolean =
                exchange?.head?.method == HttpMethod.HEAD.name() || super.isContentAlwaysEmpty(msg)
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        finalResponse = FinalResponse(ctx.channel())
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        scheduleTick()
        ctx.fireChannelActive()
    }

    /** Inspects received bytes before the decoder; returns false if they must be dropped. */
    fun acceptBytes(bytes: ByteBuf): Boolean {
        activityNanos = System.nanoTime()
        return when {
            isClosing -> false
            exchange != null && isRequestComplete -> {
                markPipelined()
                false
            }
            exchange == null -> acceptHeadBytes(bytes)
            else -> {
                undecodedBytes += bytes.readableBytes()
                true
            }
        }
    }

    private fun acceptHeadBytes(bytes: ByteBuf): Boolean {
        if (headStartNanos == null && bytes.isReadable) {
            headStartNanos = activityNanos
            requestLimits = currentLimits
        }
        headScanner.scan(bytes)
        if (headScanner.fieldBytes <= requestLimits.maxHeaderBytes) return true
        refuse(check.headerFieldsTooLarge(requestLimits.maxHeaderBytes))
        return false
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

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        // The decoder accepts trailer fields up to its own larger bound.
        if (undecodedBytes > requestLimits.maxHeaderBytes + budget.pieceBytes) {
            exchange?.inbound?.fail(Refusals.malformedBody(), afterBufferedPieces = false)
        }
        updateAutoRead()
    }

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
        // A caller that half-closes the connection while a request runs counts as disconnected. A truncated head can
        // still get a response.
        if (exchange == null && headStartNanos != null && !isClosing) {
            refuse(Refusals.TRUNCATED)
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

    /**
     * Closes the connection unless a request is running or arriving on it, or once the rest of a response is written;
     * call it on the event loop.
     */
    fun closeIfIdle() {
        if (exchange != null || headStartNanos != null || isClosing) return
        if (isResponseEndPending) isCloseAfterResponse = true else context.close()
    }

    /**
     * Reads a request body only while its buffer has room; after its end, reads on to notice when the caller
     * disconnects.
     */
    fun updateAutoRead() {
        val running = exchange
        val mayRead =
            isClosing ||
                running == null ||
                (isRequestComplete && !isPipelined) ||
                (!isRequestComplete && running.inbound.hasRoom)
        context.channel().config().isAutoRead = mayRead
    }

    /** Writes the end of a response and prepares the connection for the next request, or closes it. */
    fun finishResponse(
        ended: ServerExchange,
        last: LastHttpContent,
    ) {
        if (exchange !== ended) {
            ReferenceCountUtil.release(last)
            return
        }
        val mayContinue = ended.isKeepAlive && isRequestComplete && !isPipelined
        exchange = null
        activityNanos = System.nanoTime()
        val current = currentLimits
        idleAllowance.restart(ended.announcedLimits ?: current, current)
        isResponseEndPending = true
        ended.inbound.discard()
        if (!mayContinue) isClosing = true
        context.writeAndFlush(last).addListener { done ->
            isResponseEndPending = false
            activityNanos = System.nanoTime()
            if (done.isSuccess) ended.onResponseWritten() else ended.onConnectionLost()
            when {
                mayContinue -> if (isCloseAfterResponse) closeIfIdle()
                isPipelined && ended.isDelimited -> writeRefusal(Refusals.PIPELINED)
                else -> finalResponse.lingerAndClose(::updateAutoRead)
            }
        }
        updateAutoRead()
    }

    private fun onHead(request: HttpRequest) {
        headStartNanos = null
        if (exchange != null) return markPipelined()
        val isFolded = headScanner.isFolded
        val reading = if (isFolded) RequestReading.Refused(Refusals.FOLDED) else check.read(request, requestLimits)
        headScanner.reset()
        when (reading) {
            is RequestReading.Refused -> refuse(reading.refusal)
            is RequestReading.Accepted -> start(reading)
        }
    }

    private fun start(request: RequestReading.Accepted) {
        if (budget.isFull) budget.recordRequestAtLimit()
        val remote = context.channel().remoteAddress() as? InetSocketAddress
        val started =
            ServerExchange(
                request.head,
                callerAddress = remote?.address?.hostAddress.orEmpty(),
                isProcessBufferFull = budget.isFull,
                context.channel(),
                connection = this,
                request.traits,
                budget,
            )
        exchange = started
        isRequestComplete = false
        bodyBytes = 0
        undecodedBytes = 0
        server.start(started)
    }

    private fun onContent(content: HttpContent) {
        val running = exchange ?: return
        if (isRequestComplete) return markPipelined()
        undecodedBytes = 0
        if (content.decoderResult().isFailure) {
            return running.inbound.fail(Refusals.malformedBody(), afterBufferedPieces = false)
        }
        bodyBytes += content.content().readableBytes()
        val maxBodyBytes = requestLimits.maxBodyBytes
        if (bodyBytes > maxBodyBytes) {
            return running.inbound.fail(Refusals.largeBody(maxBodyBytes), afterBufferedPieces = false)
        }
        running.inbound.offer(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) {
            isRequestComplete = true
            running.inbound.end()
        }
    }

    private fun markPipelined() {
        isPipelined = true
        updateAutoRead()
    }

    private fun refuse(refusal: RequestCheck.Refusal) {
        isClosing = true
        writeRefusal(refusal)
    }

    private fun writeRefusal(refusal: RequestCheck.Refusal) =
        finalResponse.refuse(refusal, settings.refusalHeaders, ::updateAutoRead)

    private fun scheduleTick() {
        val current = currentLimits
        val shortest =
            minOf(
                current.headerTimeout,
                current.idleTimeout,
                minOf(settings.bodyIdleTimeout, settings.writeIdleTimeout),
            )
        val tickMillis = (shortest.toMillis() / TICKS_PER_TIMEOUT).coerceIn(MIN_TICK_MILLIS, MAX_TICK_MILLIS)
        context.channel().eventLoop().schedule(::tick, tickMillis, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        if (!context.channel().isActive) return
        val now = System.nanoTime()
        val running = exchange
        val headStart = headStartNanos
        idleAllowance.extend(currentLimits)
        when {
            isClosing -> Unit
            running != null -> checkRunning(running, now)
            isResponseEndPending -> if (isTimedOut(activityNanos, now, settings.writeIdleTimeout)) context.close()
            headStart != null && isTimedOut(headStart, now, requestLimits.headerTimeout) ->
                refuse(Refusals.TOO_SLOW)
            headStart == null && isTimedOut(activityNanos, now, idleAllowance.duration) -> context.close()
        }
        scheduleTick()
    }

    private fun checkRunning(
        running: ServerExchange,
        now: Long,
    ) {
        val awaitedSince = running.bodyAwaitedSinceNanos
        val isBodyAwaited = !isRequestComplete && awaitedSince != null
        if (isBodyAwaited && isTimedOut(maxOf(activityNanos, awaitedSince), now, settings.bodyIdleTimeout)) {
            running.inbound.fail(Refusals.slowBody(), afterBufferedPieces = false)
        }
        if (!running.outbound.isEmpty && isTimedOut(running.outbound.progressNanos, now, settings.writeIdleTimeout)) {
            LOGGER.info(
                "http: connection closed, the caller reads no bytes idleMillis={}",
                settings.writeIdleTimeout.toMillis(),
            )
            context.close()
        }
    }

    private fun isTimedOut(
        startNanos: Long,
        nowNanos: Long,
        limit: Duration,
    ): Boolean = nowNanos - startNanos > limit.toNanos()

    private companion object {
        val LOGGER = LoggerFactory.getLogger(ServerConnection::class.java)
        const val TICKS_PER_TIMEOUT = 4
        const val MIN_TICK_MILLIS = 20L
        const val MAX_TICK_MILLIS = 1000L
    }
}
