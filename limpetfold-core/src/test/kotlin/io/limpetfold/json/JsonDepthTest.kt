package io.limpetfold.json

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json

private const val LEVELS = 64

class JsonDepthTest :
    FunSpec({
        fun nested(levels: Int) = "[".repeat(levels) + "1" + "]".repeat(levels)

        test("guards against sound JSON that is changed, such as brackets in strings") {
            for (text in listOf(nested(LEVELS), "\"" + "[".repeat(100) + "\"", """{"a":"\"[[","b":"\\"}""", "")) {
                JsonDepth.isExceeded(text) shouldBe false
                JsonDepth.pruned(text) shouldBe text
            }
        }

        test("guards against deeply nested JSON that overflows the stack of its reader") {
            JsonDepth.isExceeded(nested(LEVELS + 1)) shouldBe true
            JsonDepth.pruned(nested(LEVELS + 1)) shouldBe "[".repeat(LEVELS) + "null" + "]".repeat(LEVELS)
        }

        test("guards against a deep value that takes its neighbours with it") {
            val text = """{"items":[{"a":1},${nested(100_000)},{"b":"]"}],"asOf":7}"""
            val pruned = JsonDepth.pruned(text)
            JsonDepth.isExceeded(pruned) shouldBe false
            pruned.startsWith("""{"items":[{"a":1},[""") shouldBe true
            pruned.endsWith("""],{"b":"]"}],"asOf":7}""") shouldBe true
            Json.parseToJsonElement(pruned).toString() shouldBe pruned
        }
    })
