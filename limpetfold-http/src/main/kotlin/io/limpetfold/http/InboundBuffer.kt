package io.limpetfold.http

import kotlinx.coroutines.channels.Channel
import java.io.ByteArrayOutputStream
import kotlin.coroutines.cancellation.CancellationException

/**
 * Buffers the received pieces of a message body until the reader takes them. Small pieces that arrived before the reader
 * came are returned together, so that a reader that falls behind catches up in fewer steps.
 *
 * [onRoomFreed] is called after a piece was taken or all were discarded, so that the connection can resume reading. A
 * cancelled [next] loses no piece.
 */
internal class InboundBuffer(
    private val budget: BufferBudget,
    private val onRoomFreed: () -> Unit,
) : BodySource {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val pieces = ArrayDeque<ByteArray>()
    private var bufferedBytes = 0
    private var isEnded = false
    private var isDiscarding = false
    private var failure: Exception? = null

    /** Whether the connection may read one more piece. */
    val hasRoom: Boolean get() = synchronized(pieces) { budget.hasRoom(bufferedBytes, budget.pieceBytes) }

    /** Adds a piece read from the connection. */
    fun offer(piece: ByteArray) {
        synchronized(pieces) {
            val isClosed = isEnded || failure != null
            if (isDiscarding || isClosed || piece.isEmpty()) return
            pieces.addLast(piece)
            bufferedBytes += piece.size
            budget.add(piece.size, bufferedBytes)
        }
        signal.trySend(Unit)
    }

    /** Marks the end of the body. */
    fun end() {
        synchronized(pieces) { isEnded = true }
        signal.trySend(Unit)
    }

    /** Fails the reader: once it has taken the buffered pieces if [afterBufferedPieces] is true, otherwise at once. */
    fun fail(
        cause: Exception,
        afterBufferedPieces: Boolean,
    ) {
        synchronized(pieces) {
            if (failure != null || (isEnded && afterBufferedPieces)) return
            failure = cause
            if (!afterBufferedPieces) release()
        }
        signal.trySend(Unit)
    }

    /** Drops the buffered pieces and all pieces that arrive later. */
    fun discard() {
        synchronized(pieces) {
            isDiscarding = true
            release()
        }
        onRoomFreed()
    }

    override suspend fun next(): ByteArray? {
        while (true) {
            val piece =
                synchronized(pieces) {
                    val taken = takePieces()
                    if (taken == null) {
                        failure?.let { throw it }
                        if (isEnded) return null
                        if (isDiscarding) throw CancellationException("the body was discarded")
                    } else {
                        bufferedBytes -= taken.size
                        budget.remove(taken.size, bufferedBytes)
                    }
                    taken
                }
            if (piece != null) {
                onRoomFreed()
                return piece
            }
            signal.receive()
        }
    }

    /** Removes the first piece and those after it as far as they fit into one piece; null when there is none. */
    private fun takePieces(): ByteArray? {
        val first = pieces.removeFirstOrNull() ?: return null
        var totalBytes = first.size
        if (pieces.isEmpty() || totalBytes + pieces.first().size > budget.pieceBytes) return first
        val joined = ByteArrayOutputStream(budget.pieceBytes)
        joined.write(first)
        while (pieces.isNotEmpty() && totalBytes + pieces.first().size <= budget.pieceBytes) {
            val next = pieces.removeFirst()
            totalBytes += next.size
            joined.write(next)
        }
        return joined.toByteArray()
    }

    private fun release() {
        if (bufferedBytes > 0) budget.remove(bufferedBytes, 0)
        bufferedBytes = 0
        pieces.clear()
    }
}
