package io.limpetfold.http

import kotlinx.coroutines.channels.Channel
import kotlin.coroutines.cancellation.CancellationException

/**
 * Pieces of a body between a connection and its reader.
 *
 * [onRoom] is called after a piece was taken, so that the connection may read again. A cancelled [next] loses no piece.
 */
internal class BodyQueue(
    private val budget: BufferBudget,
    private val onRoom: () -> Unit,
) : BodySource {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val pieces = ArrayDeque<ByteArray>()
    private var heldBytes = 0
    private var isEnded = false
    private var isDiscarding = false
    private var failure: Exception? = null

    /** Whether the connection may read one more piece. */
    val hasRoom: Boolean get() = synchronized(pieces) { budget.hasRoom(heldBytes, budget.pieceBytes) }

    /** Adds a piece read from the connection. */
    fun offer(piece: ByteArray) {
        synchronized(pieces) {
            val isOver = isEnded || failure != null
            if (isDiscarding || isOver || piece.isEmpty()) return
            pieces.addLast(piece)
            heldBytes += piece.size
            budget.add(piece.size, heldBytes)
        }
        signal.trySend(Unit)
    }

    /** Marks the end of the body. */
    fun end() {
        synchronized(pieces) { isEnded = true }
        signal.trySend(Unit)
    }

    /** Fails the reader: after the pieces already held when [afterPieces], else at once. */
    fun fail(
        cause: Exception,
        afterPieces: Boolean,
    ) {
        synchronized(pieces) {
            if (failure != null || (isEnded && afterPieces)) return
            failure = cause
            if (!afterPieces) release()
        }
        signal.trySend(Unit)
    }

    /** Drops all pieces, now and later. */
    fun discard() {
        synchronized(pieces) {
            isDiscarding = true
            release()
        }
        onRoom()
    }

    override suspend fun next(): ByteArray? {
        while (true) {
            val piece =
                synchronized(pieces) {
                    val taken = pieces.removeFirstOrNull()
                    if (taken == null) {
                        failure?.let { throw it }
                        if (isEnded) return null
                        if (isDiscarding) throw CancellationException("the body was discarded")
                    } else {
                        heldBytes -= taken.size
                        budget.remove(taken.size, heldBytes)
                    }
                    taken
                }
            if (piece != null) {
                onRoom()
                return piece
            }
            signal.receive()
        }
    }

    private fun release() {
        if (heldBytes > 0) budget.remove(heldBytes, 0)
        heldBytes = 0
        pieces.clear()
    }
}
