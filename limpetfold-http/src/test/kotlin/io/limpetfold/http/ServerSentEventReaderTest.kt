package io.limpetfold.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.IOException

class ServerSentEventReaderTest :
    FunSpec({
        test("guards against events that depend on where the stream is split into pieces or on its line endings") {
            val events =
                listOf(ServerSentEvent("čist\nlonec"), ServerSentEvent("{}", "error", "7"), ServerSentEvent("[DONE]"))
            for (ending in listOf("\n", "\r\n", "\r")) {
                val bytes =
                    events
                        .joinToString(
                            ": comment\n\n",
                        ) { String(it.encode()) }
                        .replace("\n", ending)
                        .encodeToByteArray()
                for (size in 1..bytes.size) {
                    val reader = ServerSentEventReader()
                    bytes.toList().chunked(size).flatMap { reader.feed(it.toByteArray()) } shouldBe events
                    reader.isInsideEvent shouldBe false
                }
            }
        }

        test("guards against buffering an event without an end beyond the limit") {
            val reader = ServerSentEventReader(maxEventBytes = 100)
            shouldThrow<IOException> { repeat(50) { reader.feed("data: abc\n".encodeToByteArray()) } }
        }
    })
