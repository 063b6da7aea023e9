package io.limpetfold.peer.ktor

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * An open connection to an authenticated peer; [run] serves it until it fails or is cancelled.
 *
 * @property isPreferred whether it stays open when both sides dialled at the same time, see
 * [DuplicateConnectionResolver].
 */
internal class PeerConnection(
    val peer: Incarnation,
    val isPreferred: Boolean,
    private val channel: FrameChannel,
    private val handlers: TopicHandlers,
    private val policy: PeerPolicy,
) {
    private val queue = Channel<ByteArray>(Channel.UNLIMITED)
    private val queuedBytes = AtomicInteger()
    private val sentFrames = AtomicLong()
    private val nextId = AtomicLong()
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<Frame?>>()
    private val outboundAsks = Semaphore(policy.maxInFlight)
    private val inboundAsks = Semaphore(policy.maxInFlight)
    private val closeReason = CompletableDeferred<String>()
    private val closed = CompletableDeferred<Unit>()

    /** Makes [run] fail with [reason]. */
    fun close(reason: String) {
        closeReason.complete(reason)
    }

    /** Resumes [awaitClosed]; called once the connection is no longer registered. */
    fun markClosed() {
        closed.complete(Unit)
    }

    suspend fun awaitClosed() = closed.await()

    /** Serves the connection; always ends with an exception, whose message is the reason. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { throw ProtocolException(closeReason.await()) }
                launch { write() }
                launch { ping() }
                read(this)
            }
        } finally {
            queue.close()
            while (pending.isNotEmpty()) pending.keys.toList().forEach { pending.remove(it)?.complete(null) }
        }
    }

    /** Sends an ask and waits up to [timeout] for its reply. */
    suspend fun ask(
        topic: String,
        payload: ByteArray,
        timeout: Duration,
    ): Result<ByteArray, PeerError> {
        val start = TimeSource.Monotonic.markNow()
        var isSent = false
        val reply =
            withTimeoutOrNull(timeout.toMillis()) {
                outboundAsks.acquire()
                try {
                    exchange(topic, payload) { isSent = true }
                } finally {
                    outboundAsks.release()
                }
            }
        return when {
            reply is Frame.Reply -> Ok(reply.payload)
            reply is Frame.Rejection -> Err(PeerError.Rejected(peer.instance, reply.reason))
            isSent -> Err(PeerError.Timeout(peer.instance, start.elapsedNow().toJavaDuration()))
            else -> Err(PeerError.Unreachable(peer.instance))
        }
    }

    /**
     * Returns the reply or the rejection, or null if the connection closed or the ask did not fit into the write queue.
     */
    private suspend fun exchange(
        topic: String,
        payload: ByteArray,
        onSent: () -> Unit,
    ): Frame? {
        val id = nextId.incrementAndGet()
        val reply = CompletableDeferred<Frame?>()
        pending[id] = reply
        try {
            if (!enqueue(Frame.Ask(id, topic, payload))) return null
            onSent()
            return reply.await()
        } finally {
            pending.remove(id)
        }
    }

    private fun enqueue(frame: Frame): Boolean {
        val bytes = Frame.encode(frame)
        if (queuedBytes.addAndGet(bytes.size) <= policy.maxQueuedBytes && queue.trySend(bytes).isSuccess) return true
        queuedBytes.addAndGet(-bytes.size)
        return false
    }

    private suspend fun write() {
        for (first in queue) {
            withTimeoutOrNull(policy.writeTimeout.toMillis()) {
                var bytes: ByteArray? = first
                while (bytes != null) {
                    channel.write(bytes)
                    queuedBytes.addAndGet(-bytes.size)
                    sentFrames.incrementAndGet()
                    bytes = queue.tryReceive().getOrNull()
                }
                channel.flush()
            }
                ?: throw ProtocolException(
                    "the peer did not read the pending bytes within ${policy.writeTimeout.toMillis()} ms",
                )
        }
    }

    private suspend fun ping() {
        while (true) {
            val before = sentFrames.get()
            delay(policy.pingInterval.toMillis())
            if (sentFrames.get() == before) enqueue(Frame.Ping)
        }
    }

    private suspend fun read(scope: CoroutineScope) {
        while (true) {
            val bytes =
                withTimeoutOrNull(policy.idleTimeout.toMillis()) { channel.read(policy.maxFrameBytes) }
                    ?: throw ProtocolException("no frame was received for ${policy.idleTimeout.toMillis()} ms")
            when (val frame = decode(bytes)) {
                is Frame.Ask -> handle(scope, frame)
                is Frame.Reply -> pending.remove(frame.id)?.complete(frame)
                is Frame.Rejection -> pending.remove(frame.id)?.complete(frame)
                Frame.Ping -> Unit
            }
        }
    }

    private fun decode(bytes: ByteArray): Frame =
        try {
            Frame.decode(bytes)
        } catch (e: IllegalArgumentException) {
            throw ProtocolException("a received frame could not be decoded (${e.javaClass.simpleName})", e)
        }

    /**
     * Handles [ask] in a new coroutine.
     *
     * If the write queue is full, the reply is dropped, and the sender's timeout tells it that the outcome is unknown.
     */
    private fun handle(
        scope: CoroutineScope,
        ask: Frame.Ask,
    ) {
        if (!inboundAsks.tryAcquire()) {
            enqueue(Frame.Rejection(ask.id, "more than ${policy.maxInFlight} asks are in flight"))
            return
        }
        scope.launch {
            try {
                enqueue(handlers.handle(peer, ask))
            } finally {
                inboundAsks.release()
            }
        }
    }
}
