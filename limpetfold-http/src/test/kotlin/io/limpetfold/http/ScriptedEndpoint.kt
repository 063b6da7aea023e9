package io.limpetfold.http

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * An endpoint whose [script] reads and writes raw bytes; it runs once per connection and gets the connection's number,
 * from 1.
 *
 * @param receiveBufferBytes size of the receive buffers of its connections; null for the system's default.
 */
class ScriptedEndpoint(
    receiveBufferBytes: Int? = null,
    private val script: RawConnection.(Int) -> Unit,
) : AutoCloseable {
    private val listener =
        ServerSocket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
        }
    private val connections = AtomicInteger()
    val address = HostPort("127.0.0.1", listener.localPort)
    val connectionCount: Int get() = connections.get()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(
                    isDaemon = true,
                ) { socket.use { runCatching { RawConnection(it).script(connections.incrementAndGet()) } } }
            }
        }
    }

    override fun close() = listener.close()
}

/** A blocking connection for raw bytes, as a caller or as an endpoint. */
class RawConnection(
    val socket: Socket,
) {
    private val input = socket.getInputStream().buffered()

    /** Reads one head with its blank line, or null at the end of input. */
    fun readHead(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    fun readBytes(count: Int): String = String(input.readNBytes(count))

    fun readToEnd(): String = runCatching { String(input.readAllBytes()) }.getOrDefault("reset")

    fun write(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Resets the connection. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    fun respond(
        body: String,
        vararg headers: String,
    ) = write("HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headers.joinToString("") { "$it\r\n" }}\r\n$body")
}
