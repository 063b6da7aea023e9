package io.limpetfold.peer.ktor

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerHandler
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.time.Duration
import kotlin.random.Random

/**
 * Peer messages over TCP with one connection for each pair of routers.
 *
 * Register handlers, then call [start] once; [setPeers] sets the peers to connect to. Connections from other peers are
 * accepted if they prove the fleet key. Instance names consist of letters, digits, `.`, `_`, `:` and `-`. Safe for
 * concurrent use; no call blocks a thread.
 */
@OptIn(ExperimentalSerializationApi::class)
class KtorPeerNetwork(
    private val self: Incarnation,
    fleetKey: FleetKey,
    private val policy: PeerPolicy = PeerPolicy(),
    private val random: Random = Random.Default,
) : PeerNetwork {
    private val maxPayloadBytes = policy.maxFrameBytes - ENVELOPE_BYTES
    private val handlers = TopicHandlers(maxPayloadBytes)
    private val handshake = Handshake(self, fleetKey)
    private val scope =
        CoroutineScope(
            SupervisorJob() + Dispatchers.Default +
                CoroutineExceptionHandler { _, e -> LOG.error("peer: unexpected exception", e) },
        )
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshakes = Semaphore(policy.maxHandshakes)

    private val lock = Any()
    private val open = mutableMapOf<InstanceId, PeerConnection>()
    private val newestNumbers = mutableMapOf<InstanceId, Long>()
    private val dialers = mutableMapOf<PeerAddress, Job>()

    override fun <Q : Any, A : Any> registerHandler(
        topic: PeerTopic<Q, A>,
        handler: PeerHandler<Q, A>,
    ) = handlers.add(topic, handler)

    /** Binds [host] and [port], accepts connections from peers and returns the port; port 0 chooses a free one. */
    suspend fun start(
        host: String,
        port: Int,
    ): Int {
        val server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { accept(server) }
        return (server.localAddress as InetSocketAddress).port
    }

    /**
     * Sets the peers to connect to.
     *
     * Connections that this router dialled are closed if their peer is no longer listed.
     */
    fun setPeers(peers: List<PeerAddress>) {
        val wanted =
            peers
                .filter {
                    it.instance != self.instance
                }.distinctBy { it.instance }
                .take(policy.maxConnections)
                .toSet()
        synchronized(lock) {
            (dialers.keys - wanted).forEach { dialers.remove(it)?.cancel() }
            (wanted - dialers.keys).forEach { dialers[it] = scope.launch { keepConnected(it) } }
        }
    }

    override suspend fun <Q : Any, A : Any> ask(
        to: InstanceId,
        topic: PeerTopic<Q, A>,
        message: Q,
        timeout: Duration,
    ): Result<A, PeerError> {
        val connection = synchronized(lock) { open[to] } ?: return Err(PeerError.Unreachable(to))
        val payload = Frame.CBOR.encodeToByteArray(topic.requestSerializer, message)
        if (payload.size > maxPayloadBytes) {
            return Err(PeerError.Rejected(to, "the message of ${payload.size} bytes exceeds $maxPayloadBytes bytes"))
        }
        return connection.ask(topic.name, payload, timeout).fold(
            success = { decode(to, topic, it) },
            failure = { Err(it) },
        )
    }

    private fun <A : Any> decode(
        from: InstanceId,
        topic: PeerTopic<*, A>,
        payload: ByteArray,
    ): Result<A, PeerError> =
        try {
            Ok(Frame.decode(topic.replySerializer, payload))
        } catch (e: SerializationException) {
            LOG.warn("peer: reply does not decode peer={} topic={} reason={}", from, topic, e.javaClass.simpleName)
            Err(PeerError.Rejected(from, "its reply to $topic does not decode"))
        }

    override fun connectedPeers(): ImmutableSet<InstanceId> = synchronized(lock) { open.keys.toImmutableSet() }

    /** Closes all connections and the listener. */
    suspend fun close() {
        scope.coroutineContext.job.cancelAndJoin()
        selector.close()
    }

    private suspend fun accept(server: ServerSocket) {
        server.use {
            while (true) {
                val socket = acceptSocket(server) ?: continue
                if (handshakes.tryAcquire()) {
                    scope.launch { serve(socket) }
                } else {
                    LOG.warn("peer: connection refused reason=\"more than {} handshakes\"", policy.maxHandshakes)
                    socket.close()
                }
            }
        }
    }

    /**
     * Returns null after a failed accept, for example when the process is out of file descriptors; [accept] then
     * tries again.
     */
    private suspend fun acceptSocket(server: ServerSocket): Socket? =
        try {
            server.accept()
        } catch (e: IOException) {
            currentCoroutineContext().ensureActive()
            LOG.error("peer: accept failed reason=\"{}\"", e.message)
            delay(policy.backoffMin.toMillis())
            null
        }

    private suspend fun serve(socket: Socket) {
        // The address is not available any more once the socket is closed.
        val address = runCatching { socket.remoteAddress }.getOrNull()
        try {
            socket.use {
                val connection =
                    try {
                        acceptHandshake(channel(it))
                    } finally {
                        handshakes.release()
                    }
                runRegistered(connection)
            }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            LOG.warn("peer: connection closed address={} reason=\"{}\"", address, reason(e))
        }
    }

    private suspend fun acceptHandshake(channel: FrameChannel): PeerConnection {
        val peer = withHandshakeTimeout { handshake.accept(channel) }
        val isPreferred = DuplicateConnectionResolver.isPreferred(dialer = peer.instance, acceptor = self.instance)
        val connection = PeerConnection(peer, isPreferred, channel, handlers, policy)
        val refusal = register(connection)
        try {
            withHandshakeTimeout { handshake.welcome(channel, refusal) }
        } catch (e: Exception) {
            unregister(connection)
            throw e
        }
        return if (refusal == null) connection else throw ProtocolException(refusal)
    }

    /** Connects to [address] whenever no connection to its instance is open, with exponential backoff and jitter. */
    private suspend fun keepConnected(address: PeerAddress) {
        if (self.instance > address.instance) delay(policy.duplicateAvoidanceDelay.toMillis())
        var backoffMillis = policy.backoffMin.toMillis()
        while (true) {
            val existing = synchronized(lock) { open[address.instance] }
            val wasConnected =
                if (existing != null) {
                    existing.awaitClosed()
                    true
                } else {
                    dial(address)
                }
            if (wasConnected) backoffMillis = policy.backoffMin.toMillis()
            delay(random.nextLong(backoffMillis / 2, backoffMillis + 1))
            backoffMillis = minOf(backoffMillis * 2, policy.backoffMax.toMillis())
        }
    }

    /** Connects to [address] and serves the connection until it closes; returns whether it was registered. */
    private suspend fun dial(address: PeerAddress): Boolean {
        var wasConnected = false
        try {
            connect(address).use {
                val connection = dialHandshake(address, channel(it))
                wasConnected = true
                runRegistered(connection)
            }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            val (instance, host, port) = address
            LOG.info("peer: connection ended peer={} address={}:{} reason=\"{}\"", instance, host, port, reason(e))
        }
        return wasConnected
    }

    private suspend fun dialHandshake(
        address: PeerAddress,
        channel: FrameChannel,
    ): PeerConnection {
        val peer = withHandshakeTimeout { handshake.dial(channel) }
        if (peer.instance != address.instance) {
            throw ProtocolException("the address belongs to ${peer.instance} and not to the expected instance")
        }
        val isPreferred = DuplicateConnectionResolver.isPreferred(dialer = self.instance, acceptor = peer.instance)
        val connection = PeerConnection(peer, isPreferred, channel, handlers, policy)
        register(connection)?.let { throw ProtocolException(it) }
        return connection
    }

    private suspend fun runRegistered(connection: PeerConnection) =
        try {
            connection.run()
        } finally {
            unregister(connection)
        }

    private suspend fun connect(address: PeerAddress): Socket =
        withTimeoutOrNull(policy.connectTimeout.toMillis()) {
            aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        } ?: throw ProtocolException("no connection within ${policy.connectTimeout.toMillis()} ms")

    private fun channel(socket: Socket) =
        FrameChannel(socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))

    private suspend fun <T : Any> withHandshakeTimeout(step: suspend () -> T): T =
        withTimeoutOrNull(policy.handshakeTimeout.toMillis()) { step() }
            ?: throw ProtocolException("the handshake step took longer than ${policy.handshakeTimeout.toMillis()} ms")

    /** Makes [connection] the open connection to its peer, replacing an existing one, or returns why it is refused. */
    private fun register(connection: PeerConnection): String? {
        val instance = connection.peer.instance
        val replaced =
            synchronized(lock) {
                val existing = open[instance]
                val newest = newestNumbers[instance] ?: Long.MIN_VALUE
                DuplicateConnectionResolver.refusal(existing, connection, newest)?.let { return it }
                if (existing == null && open.size >= policy.maxConnections) {
                    return "the limit of ${policy.maxConnections} connections is reached"
                }
                newestNumbers[instance] = connection.peer.number
                open[instance] = connection
                existing
            }
        replaced?.close("replaced by a connection of ${connection.peer}")
        LOG.info("peer: connected peer={}", connection.peer)
        return null
    }

    private fun unregister(connection: PeerConnection) {
        synchronized(lock) { open.remove(connection.peer.instance, connection) }
        connection.markClosed()
    }

    private fun reason(e: Exception): String = e.message ?: e.javaClass.simpleName

    private companion object {
        /** Space reserved in a frame for all but the payload: the id, the topic name and the CBOR overhead. */
        const val ENVELOPE_BYTES = 1024
        val LOG = LoggerFactory.getLogger(KtorPeerNetwork::class.java)
    }
}
