package io.limpetfold.router.call

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestBodyException
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes of request bodies that the process holds whole, which slow uploads would otherwise add up without limit.
 *
 * Safe for concurrent use.
 *
 * @param limitBytes bound for the process; a request that would exceed it is refused as not run.
 */
internal class HeldBodies(
    private val limitBytes: Long,
) {
    private val held = AtomicLong()

    /** Bytes held now. */
    val heldBytes: Long get() = held.get()

    /** Reads the whole body of [exchange] and passes it to [use]; returns null when the process is at its bound. */
    suspend fun <T : Any> read(
        exchange: HttpExchange,
        maxBytes: Int,
        use: suspend (ByteArray) -> T,
    ): T? {
        val whole = ByteArrayOutputStream()
        try {
            while (true) {
                val piece = exchange.body.next() ?: break
                if (whole.size() + piece.size > maxBytes) {
                    throw RequestBodyException(PAYLOAD_TOO_LARGE, "the body exceeds $maxBytes bytes: send a smaller body")
                }
                if (held.addAndGet(piece.size.toLong()) > limitBytes) {
                    held.addAndGet(-piece.size.toLong())
                    return null
                }
                whole.write(piece)
            }
            return use(whole.toByteArray())
        } finally {
            held.addAndGet(-whole.size().toLong())
        }
    }

    private companion object {
        const val PAYLOAD_TOO_LARGE = 413
    }
}
