package io.limpetfold.stream

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class ServerSentEventFramerTest :
    FunSpec({
        test("guards against changed bytes or lost event ids, wherever the stream is split into chunks") {
            val events = (1..20).map { "id: $it\nevent: x\ndata: text $it\r\ndata: more\n\n" }
            val whole = events.joinToString("").encodeToByteArray()
            for (seed in 1..200) {
                val random = Random(seed)
                val framer = ServerSentEventFramer()
                val frames = mutableListOf<ServerSentEventFrame>()
                var from = 0
                while (from < whole.size) {
                    val to = minOf(whole.size, from + 1 + random.nextInt(40))
                    frames += framer.feed(whole.copyOfRange(from, to)).getOrThrow { error(it.message) }
                    from = to
                }
                frames.map { it.bytes.decodeToString() } shouldBe events
                frames.map { it.id } shouldBe (1..20).map { "$it" }
                framer.incompleteEventBytes shouldBe 0
            }
        }

        test("guards against forwarding an event that its endpoint did not finish") {
            val framer = ServerSentEventFramer()
            framer.feed("id: 1\ndata: a\n\nid: 2\nda".encodeToByteArray()).get()?.map { it.id } shouldBe listOf("1")
            (framer.incompleteEventBytes > 0) shouldBe true
        }

        test("guards against unbounded memory for an event that never ends") {
            val framer = ServerSentEventFramer(maxEventBytes = 100)
            framer.feed(ByteArray(200) { 'x'.code.toByte() }).getError() shouldBe EventTooLarge(100)
            framer.incompleteEventBytes shouldBe 100
        }

        test("guards against a crash on bytes that are not an event stream") {
            for (seed in 1..500) ServerSentEventFramer().feed(Random(seed).nextBytes(300))
        }
    })
