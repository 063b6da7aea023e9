package io.limpetfold.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlinx.coroutines.channels.Channel as SignalChannel

/** Writes message pieces to a connection and suspends the writer while the buffer is full. */
internal class OutboundBuffer(
    private val channel: Channel,
    private val budget: BufferBudget,
) {
    private val signal = SignalChannel<Unit>(SignalChannel.CONFLATED)
    private val lock = Any()
    private var heldBytes = 0
    private var failure: Exception? = null

    /** When the connection last took a piece, or when a piece was added to an empty buffer. */
    @Volatile
    var progressNanos: Long = System.nanoTime()
        private set

    val isEmpty: Boolean get() = synchronized(lock) { heldBytes == 0 }

    /** Writes [bytes] in pieces, suspending before each piece until there is room. */
    suspend fun write(bytes: ByteArray) {
        var offset = 0
        while (offset < bytes.size) {
            val length = minOf(budget.pieceBytes, bytes.size - offset)
            reserve(length)
            val content = DefaultHttpContent(Unpooled.copiedBuffer(bytes, offset, length))
            channel.writeAndFlush(content).addListener { done -> complete(length, done.cause()) }
            offset += length
        }
        // A writer without any room left to wait for still has to learn that the connection was lost.
        synchronized(lock) { failure }?.let { throw it }
    }

    fun fail(cause: Exception) {
        synchronized(lock) { if (failure == null) failure = cause }
        signal.trySend(Unit)
    }

    private suspend fun reserve(bytes: Int) {
        while (true) {
            synchronized(lock) {
                failure?.let { throw it }
                if (budget.hasRoom(heldBytes, bytes)) {
                    if (heldBytes == 0) progressNanos = System.nanoTime()
                    heldBytes += bytes
                    budget.add(bytes, heldBytes)
                    return
                }
            }
            signal.receive()
        }
    }

    private fun complete(
        bytes: Int,
        cause: Throwable?,
    ) {
        synchronized(lock) {
            heldBytes -= bytes
            budget.remove(bytes, heldBytes)
            if (cause == null) progressNanos = System.nanoTime()
        }
        signal.trySend(Unit)
    }
}

/** Suspends until the operation is done and returns its failure, or null. */
internal suspend fun ChannelFuture.awaitCause(): Throwable? =
    suspendCancellableCoroutine { continuation -> addListener { continuation.resume(it.cause()) } }
