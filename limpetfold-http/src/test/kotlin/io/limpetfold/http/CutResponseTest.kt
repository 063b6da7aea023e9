package io.limpetfold.http

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.net.Socket

/** Load pattern: uploads whose endpoint answers early and without a length, and then ends the connection. */
class CutResponseTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val settings = UpstreamSettings(acceptsCloseDelimitedResponses = true)
        val client = autoClose(UpstreamClient(settings, loops, BufferBudget()))

        /** Returns how many of [CALLS] concurrent requests get a complete response; [end] follows its last byte. */
        suspend fun completeResponses(
            body: () -> UpstreamBody,
            readBytes: Int,
            receiveBufferBytes: Int?,
            end: RawConnection.() -> Unit,
        ): Int =
            ScriptedEndpoint(receiveBufferBytes) {
                readHead()
                readBytes(readBytes)
                write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(RESPONSE_BYTES))
                end()
            }.use { endpoint ->
                coroutineScope {
                    val request = { UpstreamRequest("POST", "/", body = body()) }
                    List(CALLS) {
                        async {
                            client
                                .send(endpoint.address, request())
                                .get()
                                ?.readAll(RESPONSE_BYTES)
                                ?.isOk == true
                        }
                    }.awaitAll().count { it }
                }
            }

        fun atOnce(bytes: Int): () -> UpstreamBody = { UpstreamBody.Bytes(ByteArray(bytes)) }

        /** 1.2 MB in pieces of 30 kB, 15 ms apart. */
        fun paced(lengthBytes: Long?): () -> UpstreamBody =
            {
                val pieces = generateSequence { ByteArray(30_000) }.take(40).iterator()
                val source =
                    BodySource {
                        delay(15)
                        if (pieces.hasNext()) pieces.next() else null
                    }
                UpstreamBody.Stream(source, lengthBytes)
            }

        data class Upload(
            val name: String,
            val body: () -> UpstreamBody,
            val readBytes: Int = 40_000,
            val receiveBufferBytes: Int? = null,
        )
        val uploads =
            listOf(
                Upload("15 MB, which the endpoint's buffer holds back", atOnce(15_000_000), receiveBufferBytes = 4_096),
                Upload("1.2 MB", atOnce(1_200_000)),
                Upload("100 kB", atOnce(100_000)),
                Upload("1.2 MB with pauses", paced(1_200_000)),
                Upload("1.2 MB with pauses, in chunks", paced(null)),
                Upload("10 kB", atOnce(10_000), readBytes = 0),
            )
        val cuts =
            mapOf<String, RawConnection.() -> Unit>(
                "reset at once" to { reset() },
                "reset after a while" to {
                    Thread.sleep(300)
                    reset()
                },
                "closed with unread bytes" to { socket.close() },
                "ended, then closed with unread bytes" to {
                    socket.shutdownOutput()
                    Thread.sleep(5)
                    socket.close()
                },
            )
        for (upload in uploads) {
            for ((cut, end) in cuts) {
                test("guards against a complete response to ${upload.name} when the connection is $cut") {
                    completeResponses(upload.body, upload.readBytes, upload.receiveBufferBytes, end) shouldBe 0
                }
            }

            test("guards against a lost response to ${upload.name} whose endpoint reads on after its end") {
                val readOn: RawConnection.() -> Unit = {
                    socket.shutdownOutput()
                    readToEnd()
                }
                completeResponses(upload.body, upload.readBytes, upload.receiveBufferBytes, readOn) shouldBe CALLS
            }
        }

        test("guards against a complete response when the rest of its request resets the connection late") {
            val readAllSoFar: RawConnection.() -> Unit = {
                while (socket.getInputStream().available() > 0) readBytes(socket.getInputStream().available())
                socket.close()
            }
            completeResponses(paced(1_200_000), 40_000, null, readAllSoFar) shouldBe 0
            completeResponses(atOnce(100_000), 40_000, null) {
                socket.shutdownOutput()
                Thread.sleep(300)
                socket.close()
            } shouldBe 0
        }

        test("guards against a complete response whose reader comes after its connection was reset") {
            ScriptedEndpoint {
                readHead()
                write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(LONG_RESPONSE_BYTES))
                socket.shutdownOutput()
                Thread.sleep(5)
                socket.close()
            }.use { endpoint ->
                val request = UpstreamRequest("POST", "/", body = atOnce(1_200_000)())
                val response = client.send(endpoint.address, request).get()!!
                delay(700)
                response.readAll(LONG_RESPONSE_BYTES).isOk shouldBe false
            }
        }

        test("guards against a lost response to a request without a body whose endpoint closes the connection") {
            completeResponses({ UpstreamBody.None }, 0, null) { socket.close() } shouldBe CALLS
        }

        val endings =
            mapOf<String, suspend (ResponseSink) -> Unit>(
                "is aborted" to { it.abort() },
                "is left unfinished" to { },
                "fails" to { error("the handler fails") },
            )
        for ((ending, end) in endings) {
            test("guards against a response to a caller of HTTP/1.0 that looks complete though it $ending") {
                respondToHttp10(loops, end = end) shouldBe "reset"
            }
        }

        test("guards against a finished response to a caller of HTTP/1.0 that ends with a reset") {
            respondToHttp10(loops) { it.finish() } shouldBe "part"
        }

        test("guards against a refusal of a second request that is added to a response of HTTP/1.0") {
            respondToHttp10(loops, requests = 2) { it.finish() } shouldBe "part"
        }
    }) {
    private companion object {
        const val CALLS = 8
        const val RESPONSE_BYTES = 2_000

        /** More than the client buffers for a reader. */
        const val LONG_RESPONSE_BYTES = 200_000

        /** Returns the body of a response without a length that begins with a part and ends with [end]. */
        suspend fun respondToHttp10(
            loops: HttpEventLoops,
            requests: Int = 1,
            end: suspend (ResponseSink) -> Unit,
        ): String {
            val handler =
                HttpHandler {
                    val sink = it.respondStream(200, Headers.EMPTY)
                    sink.write("part".encodeToByteArray())
                    delay(50)
                    end(sink)
                }
            return HttpServer(HttpServerSettings(), loops, BufferBudget(), handler).start().use { server ->
                val caller = RawConnection(Socket(server.address.host, server.address.port).apply { soTimeout = 5_000 })
                caller.write("GET / HTTP/1.0\r\n\r\n".repeat(requests))
                caller.readHead()
                caller.readToEnd()
            }
        }
    }
}
