package io.limpetfold.http

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Load pattern: endpoints in trouble whose response heads are not valid. */
class BrokenHeadTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val settings = UpstreamSettings(acceptsCloseDelimitedResponses = true)
        val client = autoClose(UpstreamClient(settings, loops, BufferBudget()))

        /** Returns the status and body of the response that [text] is taken for, or why it is none. */
        suspend fun read(text: String): String =
            ScriptedEndpoint {
                readHead()
                socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                socket.shutdownOutput()
                readToEnd()
            }.use { endpoint ->
                val request = UpstreamRequest("GET", "/", Headers.of("X-Request-Id" to "a"))
                client.send(endpoint.address, request).fold(
                    success = { "${it.head.status} ${it.readAll(1_000).get()?.decodeToString()}" },
                    failure = { it.reason.name },
                )
            }

        val malformed = UpstreamError.Reason.MALFORMED_ANSWER.name
        val statuses =
            listOf("000", "0", "00", "20", "2", "020", "099", "600", "999", "1000", "2000", "0200", "00200", "+200", "-200") +
                listOf("2OO", "200x", "x200", "2 00", "0x0c8", "2e2", "200.0", "200,200", "", "\u00b2\u00b2\u00b2", "2\u000000") +
                listOf("101", "102", "199")
        for (status in statuses) {
            test("guards against a response with the status '${status.filter { it in ' '..'~' }}'") {
                for (reason in listOf(" Reason", "")) {
                    for (framing in listOf("Content-Length: 2\r\n", "")) {
                        val line = "HTTP/1.1 $status$reason"
                        withClue(line) { read("$line\r\n$framing\r\nok") shouldBe malformed }
                    }
                }
            }
        }

        test("guards against a valid status that is refused, and an interim one that hides the response") {
            for (status in listOf(200, 204, 299, 302, 404, 407, 426, 499, 500, 599)) {
                val body = if (status == 204) "" else "ok"
                read("HTTP/1.1 $status Reason\r\nContent-Length: 2\r\n\r\nok") shouldBe "$status $body"
            }
            read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") shouldBe "200 ok"
        }
    })
