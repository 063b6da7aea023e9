package io.limpetfold.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import kotlinx.coroutines.withTimeoutOrNull
import java.net.Socket
import java.time.Duration
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Load pattern: callers that pause for longer than the idle timeout while they read a response. */
class SlowReaderTest :
    FunSpec({
        suspend fun slowlyReadResponse(onWritten: (HttpServer) -> Unit): String =
            HttpEventLoops(threads = 2).use { loops ->
                val isWritten = AtomicBoolean()
                val handler =
                    HttpHandler { exchange ->
                        val sink = exchange.respondStream(200)
                        // Ends once the caller's side is full, so that the end itself has to wait.
                        do {
                            val hasRoom = withTimeoutOrNull(FULL_MILLIS) { sink.write(ByteArray(PIECE_BYTES)) } != null
                        } while (hasRoom)
                        isWritten.set(true)
                        sink.finish()
                    }
                val settings = HttpServerSettings(idleTimeout = Duration.ofMillis(300))
                HttpServer(settings, loops, BufferBudget(), handler).start().use { server ->
                    Socket(server.address.host, server.address.port).use { socket ->
                        socket.soTimeout = 10_000
                        val caller = RawConnection(socket)
                        caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                        eventually(30.seconds) { isWritten.get() shouldBe true }
                        onWritten(server)
                        caller.readToEnd()
                    }
                }
            }

        test("guards against a response cut at the idle timeout while its last bytes wait for a slow caller") {
            slowlyReadResponse { Thread.sleep(PAUSE_MILLIS) } shouldEndWith LAST_CHUNK
        }

        test("guards against a response cut by a planned stop while its last bytes wait for a slow caller") {
            val response =
                slowlyReadResponse { server ->
                    Thread.sleep(END_MILLIS)
                    server.beginDrain()
                    server.closeIdle()
                    Thread.sleep(END_MILLIS)
                }
            response shouldEndWith LAST_CHUNK
        }
    }) {
    private companion object {
        const val PIECE_BYTES = 16 * 1024
        const val FULL_MILLIS = 500L
        const val PAUSE_MILLIS = 1_500L

        /** Enough for the end of the response to be written behind the pieces that wait. */
        const val END_MILLIS = 300L
        const val LAST_CHUNK = "\r\n0\r\n\r\n"
    }
}
