package io.limpetfold.router.call

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestBodyException
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicLong

/**
 * Reads complete request bodies into memory and bounds their total size in the process, because many slow uploads at
 * the same time would otherwise fill the memory.
 *
 * Safe for concurrent use.
 *
 * @param limitBytes maximum for the process; a request that would exceed it is refused as not run.
 */
internal class RequestBodyBuffer(
    private val limitBytes: Long,
) {
    private val held = AtomicLong()

    /** The bytes of all bodies currently in memory. */
    val heldBytes: Long get() = held.get()

    /**
     * Reads the complete body of [exchange] and passes it to [use]; the memory counts as held until [use] returns.
     * Returns null when the process is at its limit. Throws [RequestBodyException] when the body is larger than
     * [maxBytes].
     */
    suspend fun <T : Any> read(
        exchange: HttpExchange,
        maxBytes: Int,
        use: suspend (ByteArray) -> T,
    ): T? {
        val body = ByteArrayOutputStream()
        try {
            while (true) {
                val chunk = exchange.body.next() ?: break
                if (body.size() + chunk.size > maxBytes) {
                    throw RequestBodyException(
                        PAYLOAD_TOO_LARGE,
                        "the body exceeds $maxBytes bytes: send a smaller body",
                    )
                }
                if (held.addAndGet(chunk.size.toLong()) > limitBytes) {
                    held.addAndGet(-chunk.size.toLong())
                    return null
                }
                body.write(chunk)
            }
            return use(body.toByteArray())
        } finally {
            held.addAndGet(-body.size().toLong())
        }
    }

    private companion object {
        const val PAYLOAD_TOO_LARGE = 413
    }
}
