package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Load pattern: many small pieces arrive while the reader is busy with other streams. */
class InboundBufferTest :
    FunSpec({
        test("guards against one step for each of many small pieces that are already there") {
            val budget = BufferBudget()
            val buffer = InboundBuffer(budget) {}
            repeat(100) { buffer.offer("event $it\n\n".encodeToByteArray()) }
            buffer.end()
            buffer.next()?.decodeToString() shouldBe (0 until 100).joinToString("") { "event $it\n\n" }
            buffer.next() shouldBe null
            budget.usedBytes shouldBe 0
        }

        test("guards against lost, repeated or reordered bytes, and against a piece above the limit") {
            for (seed in 1..200) {
                val random = Random(seed)
                val budget = BufferBudget()
                val buffer = InboundBuffer(budget) {}
                val pieces = List(random.nextInt(1, 40)) { random.nextBytes(random.nextInt(1, budget.pieceBytes)) }
                val offered = ArrayDeque(pieces)
                val read = mutableListOf<Byte>()
                while (offered.isNotEmpty() || budget.usedBytes > 0) {
                    repeat(minOf(offered.size, random.nextInt(5))) { buffer.offer(offered.removeFirst()) }
                    if (budget.usedBytes == 0L) continue
                    val next = checkNotNull(buffer.next())
                    next.size shouldBeLessThanOrEqual budget.pieceBytes
                    read += next.toList()
                }
                read shouldBe pieces.flatMap { it.toList() }
            }
        }
    })
