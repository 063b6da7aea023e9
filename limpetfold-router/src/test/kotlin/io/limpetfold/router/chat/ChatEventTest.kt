package io.limpetfold.router.chat

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ChatEventTest :
    FunSpec({
        test("guards against deeply nested JSON of an endpoint that overflows the stack") {
            listOf("[".repeat(100_000), "{\"a\":".repeat(40_000), "[".repeat(100_000) + "]".repeat(100_000)).forEach {
                ChatEvent.parse(it) shouldBe ChatEvent.Malformed
            }
            ChatEvent.parse("""{"choices":[{"delta":{"content":"[[["}}]}""") shouldBe ChatEvent.Delta("[[[", null, null)
        }
    })
