package io.limpetfold.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.time.Duration

/**
 * An HTTP/1.1 server with suspending handlers.
 *
 * For a graceful shutdown, call [beginDrain], [closeIdle], [awaitIdle] and [close]; the listener closes last. [close]
 * alone aborts running exchanges.
 *
 * @param limits provides the limits that may change while the server runs; by default those of [settings].
 */
class HttpServer(
    private val settings: HttpServerSettings,
    private val loops: HttpEventLoops,
    private val budget: BufferBudget,
    private val handler: HttpHandler,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
    private val limits: ConnectionLimitsSource =
        settings.connectionLimits.let { fixed ->
            ConnectionLimitsSource { fixed }
        },
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val running = MutableStateFlow(0)
    private var listener: Channel? = null

    /** Whether responses carry `Connection: close`. */
    @Volatile
    var isDraining = false
        private set

    /** The number of exchanges whose handler or response has not ended. */
    val runningCount: Int get() = running.value

    /** The bound address; valid after [start]. */
    val address: HostPort
        get() =
            (
                checkNotNull(
                    listener,
                ) { "the server is not started: call start first" }.localAddress() as InetSocketAddress
            ).let { HostPort(it.address.hostAddress, it.port) }

    /** Binds the address and returns this server. Throws [java.io.IOException] if the address is in use. */
    fun start(): HttpServer {
        val bootstrap =
            ServerBootstrap()
                .group(loops.group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator(budget))
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialize(channel)
                    },
                )
        listener = bootstrap.bind(settings.host, settings.port).syncUninterruptibly().channel()
        LOGGER.info("http: listening address={}", address)
        return this
    }

    /** Makes every further response carry `Connection: close`; new connections are still accepted. */
    fun beginDrain() {
        isDraining = true
    }

    /**
     * Closes the connections on which no request is running or arriving, so that their callers send the next one to
     * another server.
     */
    fun closeIdle() =
        connections.forEach { channel ->
            channel.eventLoop().execute { channel.pipeline().get(ServerConnection::class.java)?.closeIfIdle() }
        }

    /** Waits up to [timeout] until no exchange is running; returns whether that was reached. */
    suspend fun awaitIdle(timeout: Duration): Boolean =
        withTimeoutOrNull(timeout.toMillis()) { running.first { it == 0 } } != null

    /** Closes all connections. Running handlers see that their callers disconnected and can still finish their work. */
    fun closeAllConnections() {
        connections.close()
    }

    /** Closes the listener and all connections and cancels the running handlers. */
    override fun close() {
        listener?.close()?.awaitUninterruptibly(CLOSE_WAIT_MILLIS)
        connections.close().awaitUninterruptibly(CLOSE_WAIT_MILLIS)
        scope.cancel()
    }

    internal fun start(exchange: ServerExchange) {
        running.update { it + 1 }
        scope.launch { run(exchange) }.invokeOnCompletion { running.update { it - 1 } }
    }

    private fun initialize(channel: SocketChannel) {
        if (connections.size >= settings.maxConnections) {
            LOGGER.warn("http: too many connections, closed limit={}", settings.maxConnections)
            channel.close()
            return
        }
        connections.add(channel)
        val connection = ServerConnection(this, settings, limits, budget)
        channel.pipeline().addLast(
            RequestDecoder(settings, budget.pieceBytes, connection::acceptBytes),
            connection.encoder,
            connection,
        )
    }

    private suspend fun run(exchange: ServerExchange) {
        try {
            handler.handle(exchange)
            if (!exchange.isResponseStarted) {
                fail(
                    exchange,
                    INTERNAL_ERROR,
                    "internal_error",
                    "the request was not answered",
                    "report this fault",
                )
            }
        } catch (e: CancellationException) {
            exchange.close()
            throw e
        } catch (e: CallerDisconnectedException) {
            LOGGER.debug("http: caller disconnected path={} cause={}", exchange.head.path, e.message)
        } catch (e: RequestBodyException) {
            fail(exchange, e.status, "invalid_request", e.message, "send a valid body")
        } catch (e: Exception) {
            LOGGER.error("http: handler failed method={} path={}", exchange.head.method, exchange.head.path, e)
            fail(exchange, INTERNAL_ERROR, "internal_error", "the request failed", "report this fault")
        } catch (e: Error) {
            // Closes the connection first: memory may be too short for a response or a log line.
            exchange.close()
            LOGGER.error("http: handler failed method={} path={}", exchange.head.method, exchange.head.path, e)
        }
        exchange.closeIfUnfinished()
    }

    private suspend fun fail(
        exchange: ServerExchange,
        status: Int,
        type: String,
        message: String,
        remedy: String,
    ) {
        if (exchange.isResponseStarted) return exchange.close()
        val ran = if (status >= INTERNAL_ERROR) "unknown" else "no"
        try {
            val headers = ErrorBody.HEADERS.with("Connection", "close")
            exchange.respond(
                status,
                headers,
                ErrorBody.encode(type, message, remedy, ran, exchange.head.headers["X-Request-Id"]),
            )
        } catch (e: CallerDisconnectedException) {
            LOGGER.debug("http: caller disconnected path={} cause={}", exchange.head.path, e.message)
        }
    }

    internal companion object {
        private val LOGGER = LoggerFactory.getLogger(HttpServer::class.java)
        private const val INTERNAL_ERROR = 500
        private const val BACKLOG = 1024
        private const val CLOSE_WAIT_MILLIS = 5000L
        private const val MIN_READ_BYTES = 64
        private const val FIRST_READ_BYTES = 2048

        /** Limits each read to one piece, so that a buffer with room for a piece stays within its limit. */
        fun receiveAllocator(budget: BufferBudget) =
            AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, budget.pieceBytes).maxMessagesPerRead(1)
    }
}
