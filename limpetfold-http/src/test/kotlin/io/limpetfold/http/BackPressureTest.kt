package io.limpetfold.http

import com.github.michaelbull.result.get
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against memory use that grows with slow callers or endpoints, and against requests that are cut off when a
 * buffer limit is reached.
 */
class BackPressureTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val streamBytes = 64 * 1024
        val responseBytes = 20_000_000

        class Relay(
            val budget: BufferBudget,
            endpoint: HostPort,
        ) : AutoCloseable {
            val client = UpstreamClient(UpstreamSettings(), loops, budget)
            val refused = AtomicInteger()
            val server =
                HttpServer(HttpServerSettings(maxBodyBytes = Long.MAX_VALUE), loops, budget, { exchange ->
                    if (exchange.isProcessBufferFull) {
                        refused.incrementAndGet()
                        exchange.respond(503)
                    } else {
                        val body =
                            if (exchange.head.method ==
                                "POST"
                            ) {
                                UpstreamBody.Stream(exchange.body)
                            } else {
                                UpstreamBody.None
                            }
                        val response =
                            client
                                .send(
                                    endpoint,
                                    UpstreamRequest(exchange.head.method, "/", body = body),
                                ).get()!!
                        response.use {
                            val sink = exchange.respondStream(it.head.status, it.head.headers)
                            while (true) sink.write(it.next().get() ?: break)
                            sink.finish()
                        }
                    }
                }).start()

            fun connect() =
                RawConnection(
                    Socket(server.address.host, server.address.port).also {
                        it.receiveBufferSize =
                            256 * 1024
                    },
                )

            override fun close() {
                server.close()
                client.close()
            }
        }

        fun largeResponses(sentBytes: AtomicLong) =
            ScriptedEndpoint {
                readHead()
                write("HTTP/1.1 200 OK\r\nContent-Length: $responseBytes\r\n\r\n")
                val piece = "a".repeat(10_000)
                repeat(responseBytes / piece.length) {
                    write(piece)
                    sentBytes.addAndGet(piece.length.toLong())
                }
            }

        test(
            "guards against unbounded reading from endpoints while callers do not read, and against a truncated response once they do",
        ) {
            val sentBytes = AtomicLong()
            largeResponses(sentBytes).use { endpoint ->
                Relay(BufferBudget(streamBytes = streamBytes), endpoint.address).use { relay ->
                    val callers = List(4) { relay.connect() }
                    callers.forEach { it.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n") }
                    callers.forEach { it.readHead() }
                    val last = awaitStall { sentBytes.get() }
                    (last < 4L * responseBytes) shouldBe true
                    relay.budget.peakBytes shouldBeLessThanOrEqual 4L * streamBytes
                    callers.forEach { it.readBytes(responseBytes).length shouldBe responseBytes }
                    relay.budget.peakBufferBytes.toLong() shouldBeLessThanOrEqual streamBytes / 2L
                    eventually(5.seconds) { relay.budget.usedBytes shouldBe 0 }
                }
            }
        }

        test(
            "guards against new requests that do not see the process at its buffer limit, and against truncated responses to running ones",
        ) {
            val sentBytes = AtomicLong()
            largeResponses(sentBytes).use { endpoint ->
                Relay(BufferBudget(processBytes = 100_000, streamBytes = streamBytes), endpoint.address).use { relay ->
                    val callers = List(4) { relay.connect() }
                    callers.forEach { it.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n") }
                    callers.forEach { it.readHead() }
                    awaitStall { sentBytes.get() }
                    relay.budget.isFull shouldBe true
                    val late = relay.connect()
                    late.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                    late.readHead()!!.substringBefore("\r\n") shouldBe "HTTP/1.1 503 Service Unavailable"
                    callers
                        .map {
                            thread {
                                it
                                    .readBytes(
                                        responseBytes,
                                    ).length shouldBe responseBytes
                            }
                        }.forEach { it.join() }
                    relay.refused.get() shouldBe 1
                }
            }
        }

        test("guards against unbounded reading from a caller while the endpoint does not read") {
            val mayRead = java.util.concurrent.CountDownLatch(1)
            val bodyBytes = 20_000_000
            ScriptedEndpoint {
                readHead()
                mayRead.await()
                var readBytes = 0
                while (readBytes < bodyBytes) readBytes += readChunk()
                readChunk()
                respond("$readBytes")
            }.use { endpoint ->
                Relay(BufferBudget(streamBytes = streamBytes), endpoint.address).use { relay ->
                    val caller = relay.connect()
                    val writtenBytes = AtomicInteger()
                    val writer =
                        thread {
                            caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: $bodyBytes\r\n\r\n")
                            repeat(bodyBytes / 10_000) {
                                caller.write("a".repeat(10_000))
                                writtenBytes.addAndGet(10_000)
                            }
                        }
                    val last = awaitStall { writtenBytes.get().toLong() }
                    (last < bodyBytes) shouldBe true
                    relay.budget.peakBytes shouldBeLessThanOrEqual streamBytes.toLong()
                    mayRead.countDown()
                    caller.readHead()
                    caller.readBytes(8) shouldBe "$bodyBytes"
                    writer.join()
                }
            }
        }
    })

/** Waits until [sentBytes] no longer grows and returns it. */
private suspend fun awaitStall(sentBytes: () -> Long): Long {
    var last = -1L
    while (last != sentBytes()) {
        last = sentBytes()
        delay(300)
    }
    return last
}

private fun RawConnection.readChunk(): Int {
    var size = ""
    while (!size.endsWith("\r\n")) size += readBytes(1)
    val bytes = size.trim().toInt(16)
    readBytes(bytes + 2)
    return bytes
}
