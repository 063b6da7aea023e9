package io.limpetfold.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicReference

/**
 * Sends requests to endpoints over pooled connections, one request at a time on each connection.
 *
 * A response is returned only if its echo of the request id header, if any, is the id sent, and no bytes were received
 * before the request was written. Otherwise a caller could get the response to another request. On a connection that
 * carried earlier requests, a few repeated responses to those are dropped while the request's own one is awaited.
 *
 * Cancelling [send] closes the connection of the request.
 */
class UpstreamClient(
    private val settings: UpstreamSettings,
    loops: HttpEventLoops,
    private val budget: BufferBudget,
    listener: UpstreamListener = UpstreamListener.NONE,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : AutoCloseable {
    private val pool = ConnectionPool(settings.maxConnectionsPerAddress, listener)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val bootstrap =
        Bootstrap()
            .group(loops.group)
            .channel(EndpointChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeout.toMillis().toInt())
            .option(ChannelOption.RECVBUF_ALLOCATOR, HttpServer.receiveAllocator(budget))

    /** The number of open connections to [address], idle ones included. */
    fun openConnections(address: HostPort): Int = pool.openCount(address)

    /**
     * Sends [request] and waits for the head of its response. Read the response to its end or close it.
     *
     * If [check] withdraws the request right before it is written, the result is [UpstreamError.NotSent] with
     * [UpstreamError.Reason.WITHDRAWN].
     */
    suspend fun send(
        address: HostPort,
        request: UpstreamRequest,
        check: SendCheck = SendCheck.NONE,
    ): Result<UpstreamResponse, UpstreamError> {
        validationError(request)?.let { return Err(UpstreamError.NotSent(UpstreamError.Reason.INVALID_REQUEST, it)) }
        val sent = splitLargeBody(request)
        val job = currentCoroutineContext()[Job]
        val checkOfRunning = SendCheck { if (job?.isActive == false) "the call has ended" else check.withdrawal() }
        while (true) {
            val connection =
                when (val acquisition = pool.acquire(address)) {
                    is ConnectionPool.Acquisition.Pooled -> acquisition.connection
                    ConnectionPool.Acquisition.New -> connect(address).getOrElse { return Err(it) }
                    ConnectionPool.Acquisition.Exhausted ->
                        return notSent(UpstreamError.Reason.POOL_EXHAUSTED, "all connections to $address are in use")
                    ConnectionPool.Acquisition.Closed -> return notSent(
                        UpstreamError.Reason.POOL_CLOSED,
                        "the client was closed",
                    )
                }
            if (!currentCoroutineContext().isActive) pool.onIdle(connection)
            currentCoroutineContext().ensureActive()
            when (val start = connection.start(sent, checkOfRunning)) {
                is ClientConnection.Start.Started -> return awaitResponse(connection, start.exchange)
                is ClientConnection.Start.Withdrawn -> {
                    pool.onIdle(connection)
                    currentCoroutineContext().ensureActive()
                    return notSent(UpstreamError.Reason.WITHDRAWN, start.reason)
                }
                // An unusable connection has written nothing, so the request can safely go out on another one.
                ClientConnection.Start.Unusable -> Unit
            }
        }
    }

    /** Closes all connections; running exchanges fail. */
    override fun close() {
        pool.close()
        scope.cancel()
    }

    private suspend fun awaitResponse(
        connection: ClientConnection,
        exchange: ClientExchange,
    ): Result<UpstreamResponse, UpstreamError> {
        val body = exchange.request.body
        if (body is UpstreamBody.Stream) {
            exchange.bodyJob =
                scope.launch(start = CoroutineStart.ATOMIC) { pump(connection, exchange, body) }
        }
        val head =
            try {
                exchange.awaitHead()
            } catch (e: CancellationException) {
                exchange.close()
                throw e
            }
        return head.map { exchange as UpstreamResponse }.onFailure { exchange.close() }
    }

    private suspend fun pump(
        connection: ClientConnection,
        exchange: ClientExchange,
        body: UpstreamBody.Stream,
    ) {
        try {
            var writtenBytes = 0L
            while (true) {
                val piece = body.source.next() ?: break
                writtenBytes += piece.size
                check(
                    body.lengthBytes == null || writtenBytes <= body.lengthBytes,
                ) { "the body exceeds its declared length" }
                exchange.outbound.write(piece)
            }
            check(
                body.lengthBytes == null || writtenBytes == body.lengthBytes,
            ) { "the body is shorter than its declared length" }
            connection.endRequest(exchange)
        } catch (e: CancellationException) {
            throw e
        } catch (e: UpstreamException) {
            connection.fail(e)
        } catch (e: Exception) {
            connection.fail(
                UpstreamException(UpstreamError.Reason.REQUEST_BODY_FAILED, "the request body failed: ${e.message}"),
            )
        }
    }

    private suspend fun connect(address: HostPort): Result<ClientConnection, UpstreamError> {
        val created = AtomicReference<ClientConnection>()
        val future =
            bootstrap
                .clone()
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            created.set(
                                ClientConnection(address, channel, settings, budget, pool).also { it.install() },
                            )
                        }
                    },
                ).connect(address.host, address.port)
        // Not cancellable, because the pool must learn the result; the connect timeout limits the wait.
        val failure = withContext(NonCancellable) { future.awaitCause() }
        if (failure != null) {
            pool.connectFailed(address)
            val reason =
                if (failure is ConnectTimeoutException) {
                    UpstreamError.Reason.CONNECT_TIMEOUT
                } else {
                    UpstreamError.Reason.REFUSED
                }
            return notSent(reason, "no connection to $address: ${failure.message}")
        }
        val connection = created.get()
        if (!pool.connected(connection)) {
            connection.discard()
            return notSent(UpstreamError.Reason.POOL_CLOSED, "the client was closed")
        }
        return Ok(connection)
    }

    private fun validationError(request: UpstreamRequest): String? {
        val isTargetValid = request.target.startsWith("/") && request.target.all { it in '!'..'~' }
        val isMethodValid = request.method.isNotEmpty() && request.method.all { it in 'A'..'Z' }
        val invalidHeader =
            request.headers.entries.firstOrNull { (name, value) ->
                name.isEmpty() ||
                    !name.all(Char::isTokenChar) ||
                    value.any { it < ' ' && it != '\t' }
            }
        return when {
            !isTargetValid -> "the target is not a path: use origin form"
            !isMethodValid -> "the method is not valid: use upper-case letters"
            invalidHeader != null -> "the header field '${invalidHeader.first}' is not valid: remove control characters"
            else -> null
        }
    }

    /**
     * Streams a large body, so that the idle timeout applies to the progress of the endpoint and not to the transfer of
     * the whole body.
     */
    private fun splitLargeBody(request: UpstreamRequest): UpstreamRequest {
        val bytes = (request.body as? UpstreamBody.Bytes)?.bytes ?: return request
        if (bytes.size <= budget.pieceBytes) return request
        var rest: ByteArray? = bytes
        return request.copy(body = UpstreamBody.Stream({ rest.also { rest = null } }, bytes.size.toLong()))
    }

    private fun notSent(
        reason: UpstreamError.Reason,
        message: String,
    ) = Err(UpstreamError.NotSent(reason, message))

    private companion object {
        /**
         * Bounds the part of a request that counts as written though the endpoint has not received it, so that the end
         * of an early response can be told from a reset.
         */
        const val SEND_BUFFER_BYTES = 128 * 1024
    }
}
