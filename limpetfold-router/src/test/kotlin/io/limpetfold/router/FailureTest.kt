package io.limpetfold.router

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.standins.FaultSettings
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays failures against three routers in one JVM; each test names the failure that it guards against. */
class FailureTest :
    FunSpec({
        val fleet = TestFleet()
        val pace = fleet.engines.first().settings
        beforeSpec { fleet.start() }
        afterSpec { fleet.close() }
        beforeEach { fleet.engines.forEach { it.settings = pace.copy(tokenMillis = 2.0) } }

        /** Opens a stream at router 0 and reads its first [tokens] tokens. */
        suspend fun open(
            workspace: String,
            id: String,
            maxTokens: Int,
            tokens: Int = 3,
        ): RawCaller =
            fleet.caller(0).also {
                it.sendChat(workspace, maxTokens, id)
                it.readUntil("t$tokens ")
            }

        test("an engine connection that breaks in the stream: the stream is resumed, the answer is whole and billed once") {
            val caller = open("w1", "broken", 300)
            repeat(2) {
                fleet.engineLinks.forEach { link -> link.cut() }
                caller.readUntil("t${100 * (it + 1)} ")
            }
            val rest = caller.rest()
            (201..300).forEach { rest shouldContain "\"t$it \"" }
            Regex("\"t250 \"").findAll(rest).count() shouldBe 1
            rest shouldContain "[DONE]"
            fleet.spentTokens("w1") shouldBe 300 + PROMPT
            fleet.engines.sumOf { it.stats().requests["w1:broken"]?.started ?: 0 } shouldBe 1
            caller.close()
        }

        test("an engine that dies in the stream: an explicit error event, no end mark, and the bill is what was passed on") {
            val caller = open("w2", "dead", 3000)
            val engine = fleet.engineOf("w2:dead")
            fleet.engineLinks[engine].close()
            val rest = caller.rest()
            val whole = fleet.caller(0).use { it.chat("w0", 5, "after", isStream = false) }
            fleet.engineLinks[engine].reopen()
            whole.status shouldBe 200
            rest shouldContain "\"error\""
            rest shouldNotContain "[DONE]"
            val passedOn = Regex("\"t(\\d+) \"").findAll(rest).lastOrNull()?.groupValues?.get(1)?.toLong() ?: 3
            // The engine could not report its count of the prompt, so the reserved bound of the prompt is charged.
            fleet.spentTokens("w2") shouldBe passedOn + PROMPT_BOUND
            fleet.reservedTokens("w2") shouldBe 0
            caller.close()
            eventually(10.seconds) { fleet.routers.forEach { router -> router.view().endpoints.all { it.isInRotation } shouldBe true } }
        }

        test("a stream that outlasts the time limit of its route: an error event, the engine is told to stop, what it generated is billed") {
            val answer = fleet.caller(0).use { it.call("POST /v1/short", RawCaller.chatBody(30_000), "w12", "X-Request-Id: long") }
            answer.body shouldContain "\"error\""
            answer.isDone shouldBe false
            val counts = fleet.engines[fleet.engineOf("w12:long")].stats().requests.getValue("w12:long")
            counts.cancelled shouldBe 1
            fleet.spentTokens("w12") shouldBe counts.generatedTokens + PROMPT
        }

        test("a caller that leaves: the engine is told to stop and what it generated is billed") {
            val caller = open("w3", "gone", 3000, tokens = 40)
            caller.close()
            val engine = fleet.engines[fleet.engineOf("w3:gone")]
            eventually(5.seconds) { fleet.reservedTokens("w3") shouldBe 0 }
            val counts = engine.stats().requests.getValue("w3:gone")
            counts.cancelled shouldBe 1
            counts.generatedTokens.shouldBeBetween(40, 2999)
            fleet.spentTokens("w3") shouldBe counts.generatedTokens + PROMPT
        }

        test("a caller that leaves before the first token: the engine is told to stop and only the prompt is billed") {
            fleet.engines.forEach { it.settings = pace.copy(tokenMillis = 3000.0) }
            val caller = fleet.caller(0)
            caller.sendChat("w4", 10, "early")
            eventually(5.seconds) { fleet.engineOf("w4:early") shouldBeInRange 0..1 }
            caller.close()
            eventually(5.seconds) { fleet.reservedTokens("w4") shouldBe 0 }
            fleet.engines[fleet.engineOf("w4:early")].stats().requests.getValue("w4:early").cancelled shouldBe 1
            fleet.spentTokens("w4") shouldBe PROMPT
        }

        test("a caller that leaves before the engine took its request: nothing is billed") {
            fleet.isHolding = true
            fleet.seen.clear()
            val caller = fleet.caller(0)
            caller.sendChat("w0", 10, "untaken")
            eventually(5.seconds) { fleet.seen.count { it.second.startsWith("POST") } shouldBe 1 }
            val spentBefore = fleet.spentTokens("w0")
            caller.close()
            eventually(5.seconds) { fleet.reservedTokens("w0") shouldBe 0 }
            fleet.isHolding = false
            fleet.spentTokens("w0") shouldBe spentBefore
        }

        test("no endpoint takes the request: it is refused as not run and nothing is billed") {
            fleet.engines.forEach { it.isDraining = true }
            repeat(3) { fleet.caller(it).use { caller -> caller.chat("w4", 1, "refused-$it").body shouldContain "\"ran\":\"no\"" } }
            fleet.spentTokens("w4") shouldBe PROMPT
            fleet.engines.forEach { it.isDraining = false }
            eventually(10.seconds) { fleet.routers.forEach { router -> router.view().endpoints.all { it.isInRotation } shouldBe true } }
        }

        test("a retry through another router while the first still serves the stream: one whole answer, one bill") {
            val first = open("w5", "twice", 400)
            val second = fleet.caller(1).use { it.chat("w5", 400, "twice") }
            second.text shouldBe RawCaller.text(400)
            second.isDone shouldBe true
            first.rest() shouldNotContain "[DONE]"
            first.close()
            eventually(5.seconds) { fleet.reservedTokens("w5") shouldBe 0 }
            fleet.spentTokens("w5") shouldBe 400 + PROMPT
            fleet.engines.sumOf { it.stats().requests["w5:twice"]?.started ?: 0 } shouldBe 1
            val replayed = fleet.caller(2).use { it.chat("w5", 400, "twice") }
            replayed.text shouldBe RawCaller.text(400)
            fleet.spentTokens("w5") shouldBe 400 + PROMPT
        }

        test("a request that passes through three routers while each serves it: one whole answer, one bill") {
            val first = open("w8", "passed", 1000)
            val second = fleet.caller(1)
            second.sendChat("w8", 1000, "passed")
            second.readUntil("t50 ")
            val third = fleet.caller(2).use { it.chat("w8", 1000, "passed") }
            third.text shouldBe RawCaller.text(1000)
            listOf(first, second).forEach {
                it.rest() shouldNotContain "[DONE]"
                it.close()
            }
            eventually(5.seconds) { fleet.reservedTokens("w8") shouldBe 0 }
            fleet.spentTokens("w8") shouldBe 1000 + PROMPT
        }

        test("retries that arrive together: one answer, one bill, the others are refused as unfinished") {
            fleet.caller(0).use { it.chat("w7", 1) }
            val before = fleet.spentTokens("w7")
            val answers = coroutineScope { List(6) { async { fleet.caller(0).use { it.chat("w7", 100, "together") } } }.awaitAll() }
            fleet.caller(1).use { it.chat("w7", 100, "together").text } shouldBe RawCaller.text(100)
            answers.filter { it.isDone }.forEach { it.text shouldBe RawCaller.text(100) }
            answers.filter { it.status == 409 }.forEach { it.body shouldContain "\"ran\":\"unknown\"" }
            eventually(5.seconds) { fleet.reservedTokens("w7") shouldBe 0 }
            fleet.spentTokens("w7") - before shouldBe 100 + PROMPT
        }

        test("a retry through the same router: the earlier run is found and billed once") {
            val first = open("w6", "same", 400)
            val second = fleet.caller(0).use { it.chat("w6", 400, "same") }
            second.text shouldBe RawCaller.text(400)
            first.rest() shouldNotContain "[DONE]"
            first.close()
            val replayed = fleet.caller(0).use { it.chat("w6", 400, "same") }
            replayed.text shouldBe RawCaller.text(400)
            fleet.spentTokens("w6") shouldBe 400 + PROMPT
        }

        test("the same request identity in two workspaces: each gets its own answer and bill") {
            val before = listOf("w7", "w8").map(fleet::spentTokens)
            val answers =
                coroutineScope {
                    listOf("w7" to 50, "w8" to 80)
                        .mapIndexed { router, (workspace, tokens) -> async { fleet.caller(router).use { it.chat(workspace, tokens, "shared") } } }
                        .awaitAll()
                }
            answers.map { it.text } shouldBe listOf(RawCaller.text(50), RawCaller.text(80))
            listOf("w7", "w8").map(fleet::spentTokens) shouldBe listOf(before[0] + 50 + PROMPT, before[1] + 80 + PROMPT)
        }

        test("a lost answer of a booking: reported as unknown, and no retry is forwarded") {
            fleet.serviceLink.isLosingAnswers = true
            val lost = fleet.caller(0).use { it.call(BOOK, "{}", "w9", "Idempotency-Key: lost-1") }
            fleet.serviceLink.isLosingAnswers = false
            lost.body shouldContain "\"ran\":\"unknown\""
            for (router in 0..2) {
                val retry = fleet.caller(router).use { it.call(BOOK, "{}", "w9", "Idempotency-Key: lost-1") }
                retry.status shouldBe 409
                retry.body shouldContain "\"ran\":\"unknown\""
            }
            fleet.service.effects().byKey["lost-1"] shouldBe 1
        }

        test("the platform is down: model calls go on with the grants at hand, new keys are refused as not run") {
            fleet.caller(0).use { it.chat("w10", 300).isDone shouldBe true }
            fleet.platform.faults = listOf(FaultSettings(kind = FaultSettings.Kind.OUTAGE))
            repeat(3) { fleet.caller(0).use { caller -> caller.chat("w10", 5).isDone shouldBe true } }
            val refused = fleet.caller(1).use { it.call(BOOK, "{}", "w10", "Idempotency-Key: new-1") }
            refused.status shouldBe 503
            refused.body shouldContain "\"ran\":\"no\""
            fleet.platform.faults = emptyList()
            fleet.service.effects().byKey["new-1"] shouldBe null
            fleet.caller(2).use { it.call(BOOK, "{}", "w10", "Idempotency-Key: new-1").status } shouldBe 201
        }

        test("a leaving endpoint that the list still shows: no new work after its first draining answer, back after a probe") {
            val engine = 0
            fleet.engines[engine].isDraining = true
            // One request is enough for router 0 to see the mark; the other routers learn of it from their peer.
            fleet.caller(0).use { it.chat("w11", 1).isDone shouldBe true }
            eventually(3.seconds) {
                fleet.routers.forEach { router -> router.view().endpoints.first { it.endpoint == "jezik-$engine" }.isInRotation shouldBe false }
            }
            fleet.seen.clear()
            repeat(12) { fleet.caller(it % 3).use { caller -> caller.chat("w11", 1).isDone shouldBe true } }
            fleet.seen.count { it.first == "jezik-$engine" && it.second.startsWith("POST") } shouldBe 0
            fleet.engines[engine].isDraining = false
            eventually(15.seconds) {
                fleet.routers.forEach { router -> router.view().endpoints.first { it.endpoint == "jezik-$engine" }.isInRotation shouldBe true }
            }
            fleet.caller(0).use { it.chat("w11", 1, "back").isDone shouldBe true }
            fleet.engineOf("w11:back") shouldBe engine
        }

        test("slow callers: the memory held stays within the bound and a fast caller beside them is served") {
            val text = "\"${"x".repeat(4_000_000)}\""
            val id = fleet.caller(0).use { it.call(BOOK, text, "w11", "Idempotency-Key: large") }.body.substringAfter("\"id\":\"").substringBefore('"')
            val slow = List(12) { RawCaller(fleet.routers[0].callerListenAddress, receiveBytes = 4096) }
            slow.forEach { it.send("GET /bookings/$id", workspace = "w11") }
            eventually(10.seconds) { fleet.routers[0].view().bufferedBytes shouldBeInLong 12L * 16 * 1024..12L * STREAM_BYTES }
            fleet.caller(0).use { it.chat("w11", 200).text } shouldBe RawCaller.text(200)
            fleet.caller(0).use { it.call("GET /bookings/$id", workspace = "w11").body.length } shouldBe text.length
            // At the bound of the process new requests are refused, and the running ones still end well.
            val more = List(40) { RawCaller(fleet.routers[0].callerListenAddress, receiveBytes = 4096) }
            more.forEach { it.send("GET /bookings/$id", workspace = "w11") }
            eventually(10.seconds) {
                val refused = fleet.caller(0).use { it.chat("w11", 1) }
                refused.status shouldBe 503
                refused.body shouldContain "\"ran\":\"no\""
            }
            fleet.routers[0].view().bufferedBytes shouldBeLessThanOrEqualTo (1L shl 20) + (12 + 40) * 2L * PIECE_BYTES
            slow.first().answer().body.length shouldBe text.length
            (slow + more).forEach { it.close() }
            eventually(10.seconds) { fleet.routers[0].view().bufferedBytes shouldBe 0 }
        }

        test("after all routers closed, the ledgers hold each bill once and no grant") {
            val spent = WORKSPACES.associateWith(fleet::spentTokens)
            fleet.stopRouters()
            WORKSPACES.associateWith { fleet.ledger(it).settledTokens } shouldBe spent
            WORKSPACES.forEach { fleet.ledger(it).holders shouldBe emptyMap() }
        }
    }) {
    private companion object {
        const val BOOK = "POST /bookings"

        /**
         * Prompt tokens of [RawCaller.chatBody] as the engine stand-in counts them, and as the router bounds them at
         * first: its bytes.
         */
        const val PROMPT = 4L
        const val PROMPT_BOUND = 43L
        const val STREAM_BYTES = 64 * 1024
        const val PIECE_BYTES = 16 * 1024
        val WORKSPACES = (1..12).map { "w$it" }

        infix fun Long.shouldBeInLong(range: LongRange) = shouldBeBetween(range.first, range.last)
    }
}
