package io.limpetfold.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.ServerSocket
import java.time.Duration
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

/** Guards against an answer, or a part of one, reaching another caller than the one whose request it answers. */
class UpstreamPairingTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val client = autoClose(UpstreamClient(UpstreamSettings(), loops, BufferBudget()))

        suspend fun ask(
            endpoint: ScriptedEndpoint,
            id: String,
            firstByte: Duration? = null,
            requestIdEcho: RequestIdEcho = RequestIdEcho.IF_PRESENT,
        ): Result<String, UpstreamError> =
            client
                .send(
                    endpoint.address,
                    UpstreamRequest("GET", "/$id", Headers.of("X-Request-Id" to id), requestIdEcho = requestIdEcho, firstByteTimeout = firstByte),
                ).flatMap { it.readAll(1000) }
                .map { String(it) }

        suspend fun awaitUnused(endpoint: ScriptedEndpoint) = eventually(5.seconds) { client.openConnections(endpoint.address) shouldBe 0 }

        test("whole answers share one connection") {
            ScriptedEndpoint { while (true) answer(readHead()!!.substringAfter("/").substringBefore(" ")) }.use { endpoint ->
                repeat(5) { ask(endpoint, "r$it").get() shouldBe "r$it" }
                endpoint.connectionCount shouldBe 1
            }
        }

        test("an answer that comes after its timeout reaches nobody") {
            val release = CountDownLatch(1)
            ScriptedEndpoint { connection ->
                readHead()
                if (connection == 1) release.await()
                answer("for connection $connection")
            }.use { endpoint ->
                val late = ask(endpoint, "a", Duration.ofMillis(60)).getError()
                (late as UpstreamError.OutcomeUnknown).reason shouldBe UpstreamError.Reason.FIRST_BYTE_TIMEOUT
                release.countDown()
                ask(endpoint, "b").get() shouldBe "for connection 2"
            }
        }

        test("a crossed answer with the identity of another request is an error") {
            ScriptedEndpoint { connection ->
                readHead()
                answer("secret", "X-Request-Id: ${if (connection == 1) "other" else "b"}")
            }.use { endpoint ->
                val crossed = ask(endpoint, "a").getError()
                (crossed as UpstreamError.OutcomeUnknown).reason shouldBe UpstreamError.Reason.IDENTITY_MISMATCH
                ask(endpoint, "b").get() shouldBe "secret"
            }
        }

        test("a missing echo is an error where the echo is required") {
            ScriptedEndpoint {
                readHead()
                answer("anonymous")
            }.use { endpoint ->
                ask(endpoint, "a", requestIdEcho = RequestIdEcho.REQUIRED).getError()?.reason shouldBe UpstreamError.Reason.IDENTITY_MISMATCH
            }
        }

        test("surplus bytes in the same segment as an answer are not taken for the next answer") {
            ScriptedEndpoint { connection ->
                readHead()
                if (connection == 1) write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
                if (connection == 2) answer("b")
                readHead()
            }.use { endpoint ->
                ask(endpoint, "a").get() shouldBe "a"
                ask(endpoint, "b").get() shouldBe "b"
            }
        }

        test("surplus bytes on an idle connection are not taken for the next answer") {
            ScriptedEndpoint { connection ->
                readHead()
                answer("r$connection")
                if (connection == 1) Thread.sleep(50)
                if (connection == 1) answer("stale")
                readHead()
            }.use { endpoint ->
                ask(endpoint, "a").get() shouldBe "r1"
                awaitUnused(endpoint)
                ask(endpoint, "b").get() shouldBe "r2"
            }
        }

        test("bytes sent before any request are not taken for an answer") {
            ScriptedEndpoint { connection ->
                if (connection == 1) answer("unasked")
                readHead()
                answer("asked", "X-Request-Id: a")
            }.use { endpoint ->
                repeat(3) { ask(endpoint, "a", requestIdEcho = RequestIdEcho.REQUIRED).get().let { if (it != null) it shouldBe "asked" } }
            }
        }

        test("a truncated answer is broken and reports what was passed") {
            val truncated =
                listOf(
                    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n",
                )
            for (text in truncated) {
                ScriptedEndpoint {
                    readHead()
                    write(text)
                }.use { endpoint ->
                    val broken = ask(endpoint, "a").getError().shouldBeInstanceOf<UpstreamError.IncompleteResponse>()
                    broken.bytesPassed shouldBe 4
                    awaitUnused(endpoint)
                }
            }
        }

        test("heads with two lengths, without a length, or cut off are refused") {
            val malformed =
                listOf(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\nuntil the end",
                    "HTTP/1.1 200 OK\r\nContent-",
                    "nonsense\r\n\r\n",
                    "",
                )
            for (text in malformed) {
                ScriptedEndpoint {
                    readHead()
                    write(text)
                }.use { endpoint ->
                    ask(endpoint, "a").getError().shouldBeInstanceOf<UpstreamError.OutcomeUnknown>()
                    awaitUnused(endpoint)
                }
            }
        }

        test("a connection whose answer was left half read is not used again") {
            ScriptedEndpoint { connection ->
                readHead()
                answer("r$connection".repeat(1000))
                readHead()
            }.use { endpoint ->
                val answer = client.send(endpoint.address, UpstreamRequest("GET", "/a")).get()!!
                answer.next()
                answer.close()
                ask(endpoint, "b").getError()?.reason shouldBe UpstreamError.Reason.MALFORMED_ANSWER // above 1000 bytes
                awaitUnused(endpoint)
                endpoint.connectionCount shouldBe 2
            }
        }

        test("a pooled connection that the endpoint closed is replaced without an error") {
            ScriptedEndpoint { connection ->
                readHead()
                answer("r$connection")
            }.use { endpoint ->
                repeat(4) {
                    ask(endpoint, "a").get() shouldBe "r${it + 1}"
                    awaitUnused(endpoint)
                }
            }
        }

        test("a refused connection and a closed client prove that nothing was sent") {
            val unusedPort = ServerSocket(0).use { it.localPort }
            val refused = client.send(HostPort("127.0.0.1", unusedPort), UpstreamRequest("GET", "/")).getError()
            refused.shouldBeInstanceOf<UpstreamError.NotSent>().reason shouldBe UpstreamError.Reason.REFUSED
            val closed = UpstreamClient(UpstreamSettings(), loops, BufferBudget()).also { it.close() }
            closed.send(HostPort("127.0.0.1", unusedPort), UpstreamRequest("GET", "/")).getError()?.reason shouldBe
                UpstreamError.Reason.POOL_CLOSED
        }

        test("many callers over many connections each get their own answer") {
            ScriptedEndpoint { connection ->
                repeat(20) {
                    val id = readHead()!!.substringAfter("GET /").substringBefore(" ")
                    if ((connection + it) % 7 == 0) Thread.sleep(3)
                    if ((connection + it) % 11 == 0) return@ScriptedEndpoint
                    answer(id, "X-Request-Id: $id")
                }
            }.use { endpoint ->
                coroutineScope {
                    repeat(200) { n ->
                        launch { ask(endpoint, "r$n").get()?.let { it shouldBe "r$n" } }
                        if (n % 20 == 0) delay(5)
                    }
                }
            }
        }
    })
