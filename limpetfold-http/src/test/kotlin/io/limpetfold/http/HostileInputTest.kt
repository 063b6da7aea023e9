package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import java.net.Socket
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against request smuggling, heads and bodies of unlimited size, and input that makes the server unavailable.
 */
class HostileInputTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val handled = AtomicInteger()
        val server =
            autoClose(
                HttpServer(
                    HttpServerSettings(
                        maxBodyBytes = 1000,
                        maxHeaderCount = 20,
                        headerTimeout = Duration.ofMillis(300),
                        idleTimeout = Duration.ofMillis(600),
                        bodyIdleTimeout = Duration.ofMillis(300),
                    ),
                    loops,
                    BufferBudget(),
                    { exchange ->
                        handled.incrementAndGet()
                        val body = exchange.readBody(2000)
                        if (exchange.head.path == "/slow") delay(100)
                        exchange.respond(200, body = body)
                    },
                ).start(),
            )

        fun send(
            text: String,
            isHalfClosed: Boolean = false,
        ): String =
            Socket(server.address.host, server.address.port).use { socket ->
                socket.soTimeout = 5000
                val connection = RawConnection(socket)
                runCatching { connection.write(text) }
                if (isHalfClosed) socket.shutdownOutput()
                connection.readToEnd()
            }

        val hostile =
            mapOf(
                "both lengths" to
                    (
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            "0\r\n\r\n" to 400
                    ),
                "chunked, then a length" to
                    (
                        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" +
                            "0\r\n\r\n" to 400
                    ),
                "two lengths" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" to 400),
                "the same length twice" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na" to 400),
                "a list of lengths" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na" to 400),
                "a signed length" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na" to 400),
                "a negative length" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\na" to 400),
                "an unknown encoding" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" to 400),
                "two encodings" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" to 400),
                "a space before the colon" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\na" to 400),
                "a folded field" to ("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 4\r\n\r\n" to 400),
                "a bare line feed" to ("GET / HTTP/1.1\nHost: a\n\n" to 400),
                "no host" to ("GET / HTTP/1.1\r\n\r\n" to 400),
                "two hosts" to ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" to 400),
                "a tunnel" to ("CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" to 400),
                "no request" to ("\u0001\u0002\u0003\r\n\r\n" to 400),
                "another version" to ("GET / HTTP/2.0\r\nHost: a\r\n\r\n" to 505),
                "a long line" to ("GET /${"a".repeat(10_000)} HTTP/1.1\r\nHost: a\r\n\r\n" to 414),
                "a large head" to ("GET / HTTP/1.1\r\nHost: a\r\nX: ${"a".repeat(20_000)}\r\n\r\n" to 431),
                "many fields" to
                    ("GET / HTTP/1.1\r\nHost: a\r\n${(1..30).joinToString("") { "X-$it: a\r\n" }}\r\n" to 431),
                "a large body" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n" to 413),
                "a huge length" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n" to 400),
                "a large chunked body" to
                    (
                        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n${"a".repeat(
                            2000,
                        )}\r\n0\r\n\r\n" to
                            413
                    ),
                "large trailer fields" to
                    (
                        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" +
                            "X: ${"a".repeat(100_000)}\r\n\r\n" to 400
                    ),
                "a bad chunk size" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\na\r\n0\r\n\r\n" to 400),
                "a signed chunk size" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n" to 400),
                "a chunk longer than its size" to
                    ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" to 400),
                "a stalled head" to ("GET / HTTP/1.1\r\nHost: a\r\n" to 408),
                "a stalled body" to ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc" to 408),
            )
        for ((name, input) in hostile) {
            test("$name is refused with ${input.second} and the connection closed") {
                val response = send(input.first)
                response.lineSequence().first() shouldContain "HTTP/1.1 ${input.second} "
                response shouldContain "\"ran\":\"no\""
                response.lowercase() shouldContain "connection: close"
            }
        }

        test("a truncated head is refused") {
            send("GET / HTTP/1.1\r\nHost: a", isHalfClosed = true).lineSequence().first() shouldContain "400"
        }

        test("a pipelined request is refused after the first response and never handled") {
            val before = handled.get()
            val request = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
            val responses = send(request + request)
            responses shouldContain "HTTP/1.1 200 OK"
            responses shouldContain "HTTP/1.1 400 Bad Request"
            handled.get() - before shouldBe 1
        }

        test("an idle connection is closed without a response") {
            send("") shouldBe ""
        }

        test(
            "the server still responds after hostile input, and a caller may send several requests on one connection",
        ) {
            val request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
            Socket(server.address.host, server.address.port).use { socket ->
                val connection = RawConnection(socket)
                repeat(3) {
                    connection.write(request)
                    connection.readHead()!! shouldContain "200 OK"
                    connection.readBytes(2) shouldBe "ok"
                }
            }
            val expectingContinue =
                "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
            send(expectingContinue + "ok") shouldContain "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"
            val head = send("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            head.lineSequence().first() shouldBe "HTTP/1.1 200 OK"
        }
    })
