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

/** One request on a [ClientConnection] and its response. */
internal class ClientExchange(
    val request: UpstreamRequest,
    private val connection: ClientConnection,
    channel: Channel,
    budget: BufferBudget,
    requestIdHeader: String,
) : UpstreamResponse {
    private val inbound = InboundBuffer(budget) { channel.eventLoop().execute { connection.updateAutoRead() } }
    private val responseHead = CompletableDeferred<Result<ResponseHead, UpstreamError>>()
    private val deliveredBytes = AtomicLong()
    private val isReleased = AtomicBoolean()
    val outbound = OutboundBuffer(channel, budget)
    val requestId: String? = request.headers[requestIdHeader]

    /** The coroutine that writes a streamed request body. */
    @Volatile
    var bodyJob: Job? = null

    val hasRoom: Boolean get() = inbound.hasRoom

    /** Whether the head of the response was received or the exchange failed. */
    val isHeadReceived: Boolean get() = responseHead.isCompleted

    override lateinit var head: ResponseHead
        private set

    suspend fun awaitHead(): Result<ResponseHead, UpstreamError> = responseHead.await()

    fun onHead(received: ResponseHead) {
        head = received
        responseHead.complete(Ok(received))
    }

    fun onPiece(piece: ByteArray) = inbound.offer(piece)

    fun onEnd() = inbound.end()

    /** Fails the exchange; pieces already received can still be read. */
    fun fail(failure: UpstreamException) {
        responseHead.complete(Err(UpstreamError.OutcomeUnknown(failure.reason, failure.message)))
        inbound.fail(failure, afterBufferedPieces = true)
        outbound.fail(failure)
        bodyJob?.cancel()
    }

    override suspend fun next(): Result<ByteArray?, UpstreamError> {
        if (isReleased.get() &&
            !isAtEnd
        ) {
            return incomplete(UpstreamError.Reason.CANCELLED, "the answer was closed before its end")
        }
        return try {
            val piece = inbound.next()
            if (piece == null) {
                isAtEnd = true
                // Waits for the release: the reader's next request may follow at once and should find the connection in
                // the pool.
                if (isReleased.compareAndSet(false, true)) {
                    withContext(NonCancellable) {
                        connection.release(this@ClientExchange, true).await()
                    }
                }
            } else {
                deliveredBytes.addAndGet(piece.size.toLong())
            }
            Ok(piece)
        } catch (e: UpstreamException) {
            close()
            incomplete(e.reason, e.message)
        }
    }

    override suspend fun readAll(maxBytes: Int): Result<ByteArray, UpstreamError> {
        val collected = ByteArrayOutputStream()
        while (true) {
            val piece = next().getOrElse { return Err(it) } ?: return Ok(collected.toByteArray())
            if (collected.size() + piece.size > maxBytes) {
                close()
                return incomplete(UpstreamError.Reason.MALFORMED_ANSWER, "the answer exceeds $maxBytes bytes")
            }
            collected.write(piece)
        }
    }

    override fun close() {
        if (!isReleased.compareAndSet(false, true)) return
        connection.release(this, isReadToEnd = false)
        inbound.discard()
    }

    private fun incomplete(
        reason: UpstreamError.Reason,
        message: String,
    ) = Err(UpstreamError.IncompleteResponse(reason, message, deliveredBytes.get()))

    @Volatile
    private var isAtEnd = false
}
