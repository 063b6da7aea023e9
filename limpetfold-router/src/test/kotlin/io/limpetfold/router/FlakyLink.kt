package io.limpetfold.router

import io.limpetfold.http.HostPort
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A TCP link to [target] that can be cut, closed, or made to lose answers. */
internal class FlakyLink(
    private val target: HostPort,
) : AutoCloseable {
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, InetAddress.getByName(target.host))
    val address = HostPort(target.host, listener.localPort)

    /** While true, the connection is closed when the first byte of an answer arrives. */
    @Volatile
    var isLosingAnswers = false

    init {
        accept()
    }

    /** Breaks all connections; new ones are accepted. */
    fun cut() = sockets.toList().forEach { it.close() }

    /** Breaks all connections and refuses new ones, as a dead endpoint does. */
    override fun close() {
        listener.close()
        cut()
    }

    /** Accepts connections again after [close]. */
    fun reopen() {
        listener = ServerSocket().apply { bind(InetSocketAddress(address.host, address.port), BACKLOG) }
        accept()
    }

    private fun accept() {
        val own = listener
        thread(isDaemon = true) {
            while (!own.isClosed) {
                val near = runCatching { own.accept() }.getOrNull() ?: break
                val far = runCatching { Socket(target.host, target.port) }.getOrNull()
                if (far == null) near.close() else pump(near, far)
            }
        }
    }

    private fun pump(
        near: Socket,
        far: Socket,
    ) {
        sockets += listOf(near, far)
        for ((from, to) in listOf(near to far, far to near)) {
            thread(isDaemon = true) {
                try {
                    val buffer = ByteArray(BUFFER_BYTES)
                    while (true) {
                        val count = from.getInputStream().read(buffer)
                        if (count < 0 || (from === far && isLosingAnswers)) break
                        to.getOutputStream().write(buffer, 0, count)
                    }
                } catch (_: IOException) {
                    // Either end may close at any time.
                }
                listOf(near, far).forEach { it.close() }
                sockets -= setOf(near, far)
            }
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 8192
    }
}
