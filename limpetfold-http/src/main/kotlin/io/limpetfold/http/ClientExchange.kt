package io.limpetfold.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.netty.channel.Channel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** One request on a [ClientConnection] and its answer. */
internal class ClientExchange(
    val request: UpstreamRequest,
    private val connection: ClientConnection,
    channel: Channel,
    budget: BufferBudget,
    requestIdHeader: String,
) : UpstreamResponse {
    private val queue = BodyQueue(budget) { channel.eventLoop().execute { connection.updateRead() } }
    private val answerHead = CompletableDeferred<Result<ResponseHead, UpstreamError>>()
    private val passedBytes = AtomicLong()
    private val isReleased = AtomicBoolean()
    val outbound = OutboundBuffer(channel, budget)
    val requestId: String? = request.headers[requestIdHeader]

    /** The coroutine that writes a streamed body. */
    @Volatile
    var bodyJob: Job? = null

    val hasRoom: Boolean get() = queue.hasRoom

    /** Whether the head of the answer was received. */
    val isAnswered: Boolean get() = answerHead.isCompleted

    override lateinit var head: ResponseHead
        private set

    suspend fun awaitHead(): Result<ResponseHead, UpstreamError> = answerHead.await()

    fun onHead(received: ResponseHead) {
        head = received
        answerHead.complete(Ok(received))
    }

    fun onPiece(piece: ByteArray) = queue.offer(piece)

    fun onEnd() = queue.end()

    /** Fails the exchange; pieces already received can still be read. */
    fun fail(failure: UpstreamFailure) {
        answerHead.complete(Err(UpstreamError.OutcomeUnknown(failure.reason, failure.message)))
        queue.fail(failure, afterPieces = true)
        outbound.fail(failure)
        bodyJob?.cancel()
    }

    override suspend fun next(): Result<ByteArray?, UpstreamError> {
        if (isReleased.get() && !isAtEnd) return broken(UpstreamError.Reason.CANCELLED, "the answer was closed before its end")
        return try {
            val piece = queue.next()
            if (piece == null) {
                isAtEnd = true
                // The reader's next request may follow at once and should find the connection in the pool.
                if (isReleased.compareAndSet(false, true)) withContext(NonCancellable) { connection.release(this@ClientExchange, true).await() }
            } else {
                passedBytes.addAndGet(piece.size.toLong())
            }
            Ok(piece)
        } catch (e: UpstreamFailure) {
            close()
            broken(e.reason, e.message)
        }
    }

    override suspend fun readAll(maxBytes: Int): Result<ByteArray, UpstreamError> {
        val whole = ByteArrayOutputStream()
        while (true) {
            val piece = next().getOrElse { return Err(it) } ?: return Ok(whole.toByteArray())
            if (whole.size() + piece.size > maxBytes) {
                close()
                return broken(UpstreamError.Reason.MALFORMED_ANSWER, "the answer exceeds $maxBytes bytes")
            }
            whole.write(piece)
        }
    }

    override fun close() {
        if (!isReleased.compareAndSet(false, true)) return
        connection.release(this, isReadToEnd = false)
        queue.discard()
    }

    private fun broken(
        reason: UpstreamError.Reason,
        message: String,
    ) = Err(UpstreamError.IncompleteResponse(reason, message, passedBytes.get()))

    @Volatile
    private var isAtEnd = false
}
