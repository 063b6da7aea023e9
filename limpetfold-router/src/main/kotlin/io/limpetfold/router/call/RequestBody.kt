package io.limpetfold.router.call

import io.limpetfold.http.BodySource
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestBodyException
import io.limpetfold.http.RequestHead
import io.limpetfold.http.UpstreamBody

/**
 * The body of a call, as it is sent to an endpoint.
 *
 * A short body is held in memory, so that it can be sent again. A longer one is streamed and can be sent again only
 * while none of it has been read.
 */
internal class RequestBody private constructor(
    private val held: ByteArray?,
    private val source: BodySource?,
    private val lengthBytes: Long?,
) {
    private var isRead = false

    /** Whether [toUpstream] can be called for another attempt. */
    val isReusable: Boolean get() = held != null || !isRead

    fun toUpstream(): UpstreamBody =
        when {
            held != null && held.isEmpty() -> UpstreamBody.None
            held != null -> UpstreamBody.Bytes(held)
            else -> UpstreamBody.Stream({ next() }, lengthBytes)
        }

    private suspend fun next(): ByteArray? {
        isRead = true
        return checkNotNull(source) { "a body that is not in memory has a source" }.next()
    }

    companion object {
        private const val MAX_HELD_BYTES = 16 * 1024
        private const val PAYLOAD_TOO_LARGE = 413

        /**
         * Prepares the body of [exchange] for sending. Throws [RequestBodyException] when it is longer than [maxBytes];
         * for a streamed body of unknown length, reading it throws.
         */
        suspend fun read(
            exchange: HttpExchange,
            maxBytes: Long,
        ): RequestBody {
            val framing = exchange.head.body
            if (framing == RequestHead.BodyFraming.None) return RequestBody(ByteArray(0), null, null)
            val length = (framing as? RequestHead.BodyFraming.Length)?.bytes
            if (length != null && length > maxBytes) throw tooLarge(maxBytes)
            if (length != null &&
                length <= MAX_HELD_BYTES
            ) {
                return RequestBody(exchange.readBody(MAX_HELD_BYTES), null, null)
            }
            var passedBytes = 0L
            val bounded =
                BodySource {
                    exchange.body.next()?.also {
                        passedBytes += it.size
                        if (passedBytes > maxBytes) throw tooLarge(maxBytes)
                    }
                }
            return RequestBody(null, bounded, length)
        }

        private fun tooLarge(maxBytes: Long) =
            RequestBodyException(PAYLOAD_TOO_LARGE, "the body exceeds $maxBytes bytes; send a smaller one")
    }
}
