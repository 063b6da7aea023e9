package io.limpetfold.measure.slowreaders

import io.limpetfold.http.HostPort
import io.limpetfold.measure.fleet.RouterFleet
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.TimeSource

/** A caller with its own socket and a small receive buffer, which reads and writes only in [readsToEnd] and [write]. */
internal class SlowCaller(
    router: HostPort,
    request: ByteArray,
) : AutoCloseable {
    private val channel =
        SocketChannel.open().also {
            it.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BYTES)
            it.connect(InetSocketAddress(router.host, router.port))
            it.configureBlocking(false)
        }
    private val unsent = ByteBuffer.wrap(request)

    /** Writes up to [bytes] of the unsent part of the request without blocking. */
    fun write(bytes: Int = Int.MAX_VALUE) {
        val piece = unsent.slice()
        piece.limit(minOf(piece.remaining(), bytes))
        unsent.position(unsent.position() + channel.write(piece))
    }

    /** Bytes of the request that are not yet written to the socket. */
    val unsentBytes: Int get() = unsent.remaining()

    /** Reads for at most [timeout] and returns whether the stream ended with `[DONE]`. */
    fun readsToEnd(timeout: Duration): Boolean {
        val start = TimeSource.Monotonic.markNow()
        val buffer = ByteBuffer.allocate(READ_BYTES)
        var tail = ""
        while (start.elapsedNow() < timeout) {
            buffer.clear()
            val count = channel.read(buffer)
            if (count < 0) return false
            if (count == 0) Thread.sleep(1)
            tail = (tail + String(buffer.array(), 0, count, Charsets.ISO_8859_1)).takeLast(TAIL_CHARS)
            if ("data: [DONE]" in tail) return true
        }
        return false
    }

    override fun close() = channel.close()

    companion object {
        private const val RECEIVE_BYTES = 8 * 1024
        private const val READ_BYTES = 64 * 1024
        private const val TAIL_CHARS = 60

        /** A request for a streamed response of [events] large events. */
        fun largeResponse(events: Int): ByteArray {
            val body =
                """{"model":"m","stream":true,"max_tokens":$events,"messages":[{"role":"user","content":"${StreamingEndpoint.LARGE}"}]}"""
            return request("/v1/chat/completions", body)
        }

        /** A request with [bytes] bytes of text in its body. */
        fun upload(
            path: String,
            bytes: Int,
        ): ByteArray {
            val body = """{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"${"u".repeat(
                bytes,
            )}"}]}"""
            return request(path, body)
        }

        private fun request(
            path: String,
            body: String,
        ): ByteArray =
            (
                "POST $path HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer ${RouterFleet.KEY}\r\n" +
                    "Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n" + body
            ).encodeToByteArray()
    }
}
