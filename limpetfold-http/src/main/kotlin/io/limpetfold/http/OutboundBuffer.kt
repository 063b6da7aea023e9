package io.limpetfold.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlinx.coroutines.channels.Channel as SignalChannel

/** Writes the pieces of a message body to a connection and suspends the writer while too many bytes are pending. */
internal class OutboundBuffer(
    private val channel: Channel,
    private val budget: BufferBudget,
) {
    private val signal = SignalChannel<Unit>(SignalChannel.CONFLATED)
    private val lock = Any()
    private var bufferedBytes = 0
    private var failure: Exception? = null

    /** When a piece was last written to the network or added to an empty buffer, in terms of [System.nanoTime]. */
    @Volatile
    var progressNanos: Long = System.nanoTime()
        private set

    val isEmpty: Boolean get() = synchronized(lock) { bufferedBytes == 0 }

    /** Writes [bytes] in pieces, suspending before each piece until the buffer has room. */
    suspend fun write(bytes: ByteArray) {
        var offset = 0
        while (offset < bytes.size) {
            val length = minOf(budget.pieceBytes, bytes.size - offset)
            reserve(length)
            val content = DefaultHttpContent(Unpooled.copiedBuffer(bytes, offset, length))
            channel.writeAndFlush(content).addListener { done -> complete(length, done.cause()) }
            offset += length
        }
        // Waiting for room reports a lost connection only up to the last piece, so a loss after it is checked for here.
        synchronized(lock) { failure }?.let { throw it }
    }

    /** Makes running and later writes throw [cause]. */
    fun fail(cause: Exception) {
        synchronized(lock) { if (failure == null) failure = cause }
        signal.trySend(Unit)
    }

    private suspend fun reserve(bytes: Int) {
        while (true) {
            synchronized(lock) {
                failure?.let { throw it }
                if (budget.hasRoom(bufferedBytes, bytes)) {
                    if (bufferedBytes == 0) progressNanos = System.nanoTime()
                    bufferedBytes += bytes
                    budget.add(bytes, bufferedBytes)
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
            bufferedBytes -= bytes
            budget.remove(bytes, bufferedBytes)
            if (cause == null) progressNanos = System.nanoTime()
        }
        signal.trySend(Unit)
    }
}

/** Waits for the operation and returns its failure, or null if it succeeded. */
internal suspend fun ChannelFuture.awaitCause(): Throwable? =
    suspendCancellableCoroutine { continuation -> addListener { continuation.resume(it.cause()) } }
