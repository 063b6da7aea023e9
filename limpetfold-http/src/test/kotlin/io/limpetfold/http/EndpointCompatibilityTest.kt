package io.limpetfold.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class EndpointCompatibilityTest :
    FunSpec({
        suspend fun withClient(
            settings: UpstreamSettings,
            test: suspend (UpstreamClient) -> Unit,
        ) = HttpEventLoops(threads = 1).use { loops ->
            UpstreamClient(settings, loops, BufferBudget()).use { test(it) }
        }

        suspend fun UpstreamClient.fetch(
            address: HostPort,
            headers: Headers = Headers.EMPTY,
        ): String? =
            send(address, UpstreamRequest("GET", "/", headers)).get()?.use {
                it.readAll(MAX_BYTES).get()?.decodeToString()
            }

        test(
            "guards against reusing a connection that its endpoint is about to close, as its Keep-Alive timeout says",
        ) {
            RawServer { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok" }.use { server ->
                withClient(UpstreamSettings(keepAliveMargin = Duration.ofMillis(900))) { client ->
                    client.fetch(server.address) shouldBe "ok"
                    delay(250)
                    client.fetch(server.address) shouldBe "ok"
                    server.connections.get() shouldBe 2
                }
            }
        }

        test(
            "guards against a close-delimited response that is refused although accepted by the settings, or looks complete after a reset",
        ) {
            val closeDelimited = "HTTP/1.1 200 OK\r\n\r\nwhole"
            val settings = UpstreamSettings(acceptsCloseDelimitedResponses = true)
            RawServer(Ending.CLOSE) { closeDelimited }.use { server ->
                withClient(settings) { it.fetch(server.address) shouldBe "whole" }
                withClient(
                    UpstreamSettings(),
                ) { it.send(server.address, UpstreamRequest("GET", "/")).getError().shouldNotBeNull() }
            }
            RawServer(Ending.RESET) { closeDelimited }.use { server ->
                withClient(settings) { it.fetch(server.address) shouldBe null }
            }
        }

        test(
            "guards against accepting the response to another request where the request id has a custom header field",
        ) {
            RawServer { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nCall-Id: other\r\n\r\nok" }.use { server ->
                withClient(UpstreamSettings(requestIdHeader = "Call-Id")) { client ->
                    val request = UpstreamRequest("GET", "/", Headers.of("Call-Id" to "mine"))
                    client.send(server.address, request).getError().shouldBeInstanceOf<UpstreamError.OutcomeUnknown>()
                }
            }
        }

        val ambiguousHeads =
            mapOf(
                "two ids" to "Call-Id: mine\r\nCall-Id: mine\r\n",
                "its own id before another one" to "Call-Id: mine\r\nCall-Id: other\r\n",
                "two signatures" to "Call-Id: mine\r\nSignature: a\r\nsignature: b\r\n",
                "two equal lengths" to "Call-Id: mine\r\nContent-Length: 2\r\n",
                "two lengths" to "Call-Id: mine\r\nContent-Length: 1\r\n",
                "a length beside chunks" to "Call-Id: mine\r\nTransfer-Encoding: chunked\r\n",
            )
        for (version in listOf("1.0", "1.1")) {
            for ((name, fields) in ambiguousHeads) {
                test("guards against a response in HTTP/$version with $name that is taken for one response") {
                    RawServer { "HTTP/$version 200 OK\r\nContent-Length: 2\r\n$fields\r\nok" }.use { server ->
                        val settings = UpstreamSettings(requestIdHeader = "Call-Id", singleFields = setOf("Signature"))
                        withClient(settings) { client ->
                            val request = UpstreamRequest("GET", "/", Headers.of("Call-Id" to "mine"))
                            val error = client.send(server.address, request).getError()
                            error.shouldBeInstanceOf<UpstreamError.OutcomeUnknown>()
                            error.reason shouldBe UpstreamError.Reason.MALFORMED_ANSWER
                        }
                    }
                }
            }
        }

        val foldedHeads =
            mapOf(
                "a value of two lines" to "X-Note: a\r\n b\r\nContent-Length: 2\r\n",
                "a second line like a length" to "X-Note: a\r\n \tContent-Length: 99\r\nContent-Length: 2\r\n",
                "its id on the second line" to "Call-Id:\r\n\tmine\r\nContent-Length: 2\r\n",
                "its length on the second line" to "Content-Length:\r\n 2\r\n",
            )
        for ((name, fields) in foldedHeads) {
            test("guards against a folded field that is read as several fields, or as a part of another one: $name") {
                RawServer { "HTTP/1.1 200 OK\r\n$fields\r\nok" }.use { server ->
                    withClient(UpstreamSettings(requestIdHeader = "Call-Id")) { client ->
                        val request = UpstreamRequest("GET", "/", Headers.of("Call-Id" to "mine"))
                        val error = client.send(server.address, request).getError()
                        error.shouldBeInstanceOf<UpstreamError.OutcomeUnknown>()
                        error.reason shouldBe UpstreamError.Reason.MALFORMED_ANSWER
                    }
                }
            }
        }

        test("guards against a Host field of the caller that is replaced by the endpoint's address") {
            RawServer { head ->
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n${Regex(
                    "(?i)host: (.{9})",
                ).find(head)?.groupValues?.get(1)}"
            }.use { server ->
                withClient(UpstreamSettings()) {
                    it.fetch(server.address, Headers.of("Host" to "h.example")) shouldBe
                        "h.example"
                }
            }
        }
    }) {
    private enum class Ending { KEEP, CLOSE, RESET }

    /**
     * Responds to each request with the raw bytes that [response] makes of its head, then ends the connection as
     * [ending] says.
     */
    private class RawServer(
        private val ending: Ending = Ending.KEEP,
        private val response: (head: String) -> String,
    ) : AutoCloseable {
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
        val connections = AtomicInteger()
        val address = HostPort("127.0.0.1", listener.localPort)

        init {
            thread(isDaemon = true) {
                while (!listener.isClosed) {
                    val socket = runCatching { listener.accept() }.getOrNull() ?: break
                    connections.incrementAndGet()
                    thread(isDaemon = true) { runCatching { serve(socket) } }
                }
            }
        }

        private fun serve(socket: Socket) {
            val input = socket.getInputStream().bufferedReader()
            while (true) {
                val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
                if (head.isEmpty()) return
                socket.getOutputStream().write(response(head.joinToString("\n")).encodeToByteArray())
                socket.getOutputStream().flush()
                if (ending == Ending.KEEP) continue
                Thread.sleep(ENDING_PAUSE_MILLIS)
                if (ending == Ending.RESET) socket.setSoLinger(true, 0)
                return socket.close()
            }
        }

        override fun close() = listener.close()
    }

    private companion object {
        const val MAX_BYTES = 1_000
        const val BACKLOG = 50
        const val ENDING_PAUSE_MILLIS = 100L
    }
}
