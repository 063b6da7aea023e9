package io.limpetfold.gateway.call

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestHead
import java.time.Duration

/** Reads request bodies into memory within a [BodyBudget]; the server limits the size of each one. */
internal class BodyReader(
    private val budget: BodyBudget,
) {
    /** A request body, whose memory is reserved until [close]. */
    inner class Body internal constructor(
        val bytes: ByteArray,
        private val reservedBytes: Long,
    ) : AutoCloseable {
        override fun close() = budget.release(reservedBytes)
    }

    /** Reads the body of [exchange]; returns null if there is no room for it within [maxWait]. */
    suspend fun read(
        exchange: HttpExchange,
        maxWait: Duration,
    ): Body? =
        when (val framing = exchange.head.body) {
            RequestHead.BodyFraming.None -> readLength(exchange, 0, maxWait)
            is RequestHead.BodyFraming.Length -> readLength(exchange, framing.bytes, maxWait)
            RequestHead.BodyFraming.Chunked -> readChunks(exchange, maxWait)
        }

    /** Reserves the whole body before its first byte is read, and holds it in one array. */
    private suspend fun readLength(
        exchange: HttpExchange,
        lengthBytes: Long,
        maxWait: Duration,
    ): Body? {
        if (!budget.reserve(lengthBytes, maxWait)) return null
        return releasedOnFailure({ lengthBytes }) {
            val bytes = ByteArray(lengthBytes.toInt())
            var filledBytes = 0
            while (true) {
                val piece = exchange.body.next() ?: break
                piece.copyInto(bytes, filledBytes)
                filledBytes += piece.size
            }
            Body(bytes, lengthBytes)
        }
    }

    /** Reserves twice the size of each chunk, because the chunks and the whole body are held at the same time. */
    private suspend fun readChunks(
        exchange: HttpExchange,
        maxWait: Duration,
    ): Body? {
        val pieces = mutableListOf<ByteArray>()
        var sizeBytes = 0L
        val body =
            releasedOnFailure({ sizeBytes * 2 }) {
                while (true) {
                    val piece = exchange.body.next() ?: break
                    if (!budget.reserve(piece.size * 2L, maxWait)) return@releasedOnFailure null
                    pieces += piece
                    sizeBytes += piece.size
                }
                Body(joined(pieces, sizeBytes.toInt()), sizeBytes)
            }
        budget.release(if (body == null) sizeBytes * 2 else sizeBytes)
        return body
    }

    private fun joined(
        pieces: List<ByteArray>,
        sizeBytes: Int,
    ): ByteArray {
        val bytes = ByteArray(sizeBytes)
        var filledBytes = 0
        for (piece in pieces) {
            piece.copyInto(bytes, filledBytes)
            filledBytes += piece.size
        }
        return bytes
    }

    private inline fun <T> releasedOnFailure(
        reservedBytes: () -> Long,
        read: () -> T,
    ): T {
        var isRead = false
        try {
            return read().also { isRead = true }
        } finally {
            if (!isRead) budget.release(reservedBytes())
        }
    }
}
