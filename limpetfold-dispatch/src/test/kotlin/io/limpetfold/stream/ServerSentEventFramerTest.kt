package io.limpetfold.stream

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class ServerSentEventFramerTest :
    FunSpec({
        test("guards against changed bytes or lost identities at any border of the pieces") {
            val events = (1..20).map { "id: $it\nevent: x\ndata: text $it\r\ndata: more\n\n" }
            val whole = events.joinToString("").encodeToByteArray()
            for (seed in 1..200) {
                val random = Random(seed)
                val splitter = ServerSentEventFramer()
                val blocks = mutableListOf<ServerSentEventFrame>()
                var from = 0
                while (from < whole.size) {
                    val to = minOf(whole.size, from + 1 + random.nextInt(40))
                    blocks += splitter.feed(whole.copyOfRange(from, to))
                    from = to
                }
                blocks.map { it.bytes.decodeToString() } shouldBe events
                blocks.map { it.id } shouldBe (1..20).map { "$it" }
                splitter.heldBytes shouldBe 0
            }
        }

        test("guards against an event that is passed on although its endpoint stopped in the middle of it") {
            val splitter = ServerSentEventFramer()
            splitter.feed("id: 1\ndata: a\n\nid: 2\nda".encodeToByteArray()).map { it.id } shouldBe listOf("1")
            (splitter.heldBytes > 0) shouldBe true
        }

        test("guards against an event without end that fills the memory") {
            shouldThrow<IllegalArgumentException> { ServerSentEventFramer(maxEventBytes = 100).feed(ByteArray(200) { 'x'.code.toByte() }) }
        }

        test("guards against a crash on bytes that are no event stream") {
            for (seed in 1..500) ServerSentEventFramer().feed(Random(seed).nextBytes(300))
        }
    })
