package io.limpetfold.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import java.net.Socket
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a graceful shutdown that aborts requests, and against handlers that keep working for a caller that has
 * disconnected.
 */
class GracefulDrainTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))

        fun start(handler: HttpHandler) = HttpServer(HttpServerSettings(), loops, BufferBudget(), handler).start()

        /** Responds to `/slow` once [release] completes, and to all other paths at once. */
        fun startWithSlowPath(release: CompletableDeferred<Unit>) =
            start { exchange ->
                if (exchange.head.path == "/slow") release.await()
                exchange.respond(200, body = "done".encodeToByteArray())
            }

        fun connect(server: HttpServer) = RawConnection(Socket(server.address.host, server.address.port))

        test(
            "guards against a drain that aborts running requests, refuses new ones, or lets a response go out without Connection: close",
        ) {
            val release = CompletableDeferred<Unit>()
            val server = startWithSlowPath(release)
            val slow = connect(server)
            slow.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            eventually(5.seconds) { server.runningCount shouldBe 1 }
            server.beginDrain()
            val late = connect(server)
            late.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            late.readToEnd().lowercase() shouldContain "connection: close"
            server.awaitIdle(Duration.ofMillis(50)) shouldBe false
            release.complete(Unit)
            server.awaitIdle(Duration.ofSeconds(5)) shouldBe true
            server.close()
            slow.readToEnd() shouldContain "done"
        }

        test("guards against a caller that waits for ever for a handler that ended by an Error") {
            val server = start { throw StackOverflowError() }
            val socket = Socket(server.address.host, server.address.port).apply { soTimeout = 10_000 }
            val caller = RawConnection(socket)
            caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            caller.readToEnd() shouldBe ""
            server.awaitIdle(Duration.ofSeconds(5)) shouldBe true
            server.close()
        }

        test(
            "guards against idle connections that stay open during a drain, and against aborting a running request when they are closed",
        ) {
            val release = CompletableDeferred<Unit>()
            val server = startWithSlowPath(release)
            val kept = connect(server)
            kept.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            kept.readHead() shouldContain "200 OK"
            kept.readBytes("done".length) shouldBe "done"
            val slow = connect(server)
            slow.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            eventually(5.seconds) { server.runningCount shouldBe 1 }
            server.beginDrain()
            server.closeIdle()
            kept.readToEnd() shouldBe ""
            release.complete(Unit)
            slow.readToEnd() shouldContain "done"
            server.close()
        }

        test("guards against work, or a suspended read of the body, that continues after the caller disconnected") {
            val cancelled = CompletableDeferred<String>()
            val server =
                start { exchange ->
                    try {
                        if (exchange.head.path ==
                            "/read"
                        ) {
                            exchange.readBody(100)
                        } else {
                            exchange.cancelOnDisconnect { awaitCancellation() }
                        }
                    } catch (e: CallerDisconnectedException) {
                        cancelled.complete(exchange.head.path)
                        throw e
                    }
                }
            for (path in listOf("/wait", "/read")) {
                val caller = connect(server)
                caller.write(
                    "POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: ${if (path == "/read") 5 else 0}\r\n\r\n",
                )
                eventually(5.seconds) { server.runningCount shouldBe 1 }
                caller.socket.close()
                server.awaitIdle(Duration.ofSeconds(5)) shouldBe true
            }
            cancelled.await() shouldBe "/wait"
            server.close()
        }

        test(
            "guards against a handler that throws, or returns without a response, and leaves the caller without an error response",
        ) {
            val server = start { exchange -> if (exchange.head.path == "/fail") error("fault of the test") }
            for (path in listOf("/fail", "/silent")) {
                val caller = connect(server)
                caller.write("GET $path HTTP/1.1\r\nHost: a\r\n\r\n")
                caller.readToEnd() shouldContain "\"ran\":\"unknown\""
            }
            server.close()
        }
    })
