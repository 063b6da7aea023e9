package io.limpetfold.http

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
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
            listOf(
                "000",
                "0",
                "00",
                "20",
                "2",
                "020",
                "099",
                "600",
                "999",
                "1000",
                "2000",
                "0200",
                "00200",
                "+200",
                "-200",
            ) +
                listOf(
                    "2OO",
                    "200x",
                    "x200",
                    "2 00",
                    "0x0c8",
                    "2e2",
                    "200.0",
                    "200,200",
                    "",
                    "\u00b2\u00b2\u00b2",
                    "2\u000000",
                ) +
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

        /** The bytes that the name of a field can't hold; a line feed ends its line. */
        val noNameBytes = (0..255).map { it.toChar() }.filterNot { "$it".matches(NAME_BYTE) || it == '\n' }
        val fields =
            listOf("X-Unknown: v", "Content-Length: 1", "Transfer-Encoding: chunked", "X-Request-Id: a") +
                listOf("Connection: close", "Keep-Alive: timeout=5")

        /** Forms of [field] with [byte] at the front of its name, inside it and at its end; a colon ends the name. */
        fun spoiled(
            field: String,
            byte: Char,
        ): List<String> {
            val (name, value) = field.split(':', limit = 2)
            val inside =
                listOf("${name.take(3)}$byte${name.drop(3)}:$value", "$name$byte:$value", "$name$byte x:$value")
            return listOf("$byte$field", "$byte:$value") + if (byte == ':') emptyList() else inside
        }

        for (field in fields) {
            test("guards against a response with a byte in the name of $field that is no part of a name") {
                val others = "X-A: b\r\nX-Request-Id: a\r\n"
                for (line in noNameBytes.flatMap { spoiled(field, it) } + field.substringBefore(':')) {
                    for (lines in listOf("$line\r\n$others", "$others$line\r\n")) {
                        withClue(lines) {
                            read("HTTP/1.1 200 OK\r\n${lines}Content-Length: 2\r\n\r\nok") shouldBe
                                malformed
                        }
                    }
                }
            }
        }

        test("guards against a body whose trailer has a line without the name of a field") {
            val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            for (data in listOf("2\r\nok\r\n", "")) {
                read("$head${data}0\r\nX-T: v\r\nX-U: w\r\n\r\n") shouldBe "200 ${data.drop(3).take(2)}"
                for (line in noNameBytes.flatMap { spoiled("X-T: v", it) } + "X-T") {
                    withClue(line) { read("$head${data}0\r\n$line\r\n\r\n") shouldBe "200 null" }
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
    }) {
    private companion object {
        val NAME_BYTE = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]")
    }
}
