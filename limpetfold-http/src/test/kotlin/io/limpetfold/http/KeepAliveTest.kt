package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.io.DataInputStream
import java.net.Socket

class KeepAliveTest :
    FunSpec({
        test("guards against refusing a caller that sends its next request as soon as it has the whole response") {
            HttpEventLoops(threads = 2).use { loops ->
                val handler =
                    HttpHandler {
                        it.respond(
                            200,
                            Headers.EMPTY,
                            if (it.head.method ==
                                "HEAD"
                            ) {
                                ByteArray(0)
                            } else {
                                BODY
                            },
                        )
                    }
                HttpServer(HttpServerSettings(), loops, BufferBudget(), handler).start().use { server ->
                    val refused =
                        coroutineScope {
                            (1..CALLERS)
                                .map {
                                    async(
                                        Dispatchers.IO,
                                    ) { sendSequentially(server.address) }
                                }.awaitAll()
                                .sum()
                        }

                    refused shouldBe 0
                }
            }
        }
    }) {
    private companion object {
        const val CALLERS = 8
        const val REQUESTS = 1_500
        val BODY = "answer".encodeToByteArray()

        /**
         * Sends one request after another until one gets a status other than 200; returns 1 if one did, otherwise 0.
         */
        fun sendSequentially(address: HostPort): Int =
            Socket(address.host, address.port).use { socket ->
                socket.tcpNoDelay = true
                socket.soTimeout = 10_000
                val input = DataInputStream(socket.getInputStream().buffered())
                repeat(REQUESTS) { round ->
                    val method = if (round % 2 == 0) "GET" else "HEAD"
                    socket.getOutputStream().write("$method / HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
                    if (!readLine(input).contains(" 200 ")) return 1
                    while (readLine(input).isNotEmpty()) Unit
                    if (method == "GET") input.readFully(ByteArray(BODY.size))
                }
                0
            }

        fun readLine(input: DataInputStream): String {
            val line = StringBuilder()
            while (true) {
                val char = input.readByte().toInt().toChar()
                if (char == '\n') return line.trim().toString()
                line.append(char)
            }
        }
    }
}
