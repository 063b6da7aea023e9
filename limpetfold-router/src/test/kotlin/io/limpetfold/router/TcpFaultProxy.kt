package io.limpetfold.router

import io.limpetfold.http.HostPort
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A TCP proxy in front of [target] that can break connections, refuse new ones or drop responses. */
internal class TcpFaultProxy(
    private val target: HostPort,
) : AutoCloseable {
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, InetAddress.getByName(target.host))
    val address = HostPort(target.host, listener.localPort)

    /** While true, a connection is closed when the first byte of a response arrives. */
    @Volatile
    var isDroppingResponses = false

    init {
        accept()
    }

    /** Closes all connections; new ones are accepted. */
    fun closeConnections() = sockets.toList().forEach { it.close() }

    /** Closes all connections and refuses new ones, like an endpoint that has crashed. */
    override fun close() {
        listener.close()
        closeConnections()
    }

    /** Accepts connections again after [close]. */
    fun reopen() {
        listener = ServerSocket().apply { bind(InetSocketAddress(address.host, address.port), BACKLOG) }
        accept()
    }

    private fun accept() {
        val current = listener
        thread(isDaemon = true) {
            while (!current.isClosed) {
                val client = runCatching { current.accept() }.getOrNull() ?: break
                val server = runCatching { Socket(target.host, target.port) }.getOrNull()
                if (server == null) client.close() else forward(client, server)
            }
        }
    }

    private fun forward(
        client: Socket,
        server: Socket,
    ) {
        sockets += listOf(client, server)
        for ((from, to) in listOf(client to server, server to client)) {
            thread(isDaemon = true) {
                try {
                    val buffer = ByteArray(BUFFER_BYTES)
                    while (true) {
                        val count = from.getInputStream().read(buffer)
                        if (count < 0 || (from === server && isDroppingResponses)) break
                        to.getOutputStream().write(buffer, 0, count)
                    }
                } catch (_: IOException) {
                    // Either end may close at any time.
                }
                listOf(client, server).forEach { it.close() }
                sockets -= setOf(client, server)
            }
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 8192
    }
}
