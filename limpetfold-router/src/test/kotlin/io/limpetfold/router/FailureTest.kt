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
import kotlin.time.Duration.Companion.seconds

/** Injects failures into a fleet with three routers in one JVM; each test names the failure that it guards against. */
class FailureTest :
    FunSpec({
        val fleet = TestFleet()
        val defaultSettings = fleet.engines.first().settings
        beforeSpec { fleet.start() }
        afterSpec { fleet.close() }
        beforeEach { fleet.engines.forEach { it.settings = defaultSettings.copy(tokenMillis = 2.0) } }

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

        test(
            "an engine connection that breaks during a stream: the stream is resumed, and the response is complete and billed once",
        ) {
            val caller = open("w1", "broken", 300)
            repeat(2) {
                fleet.engineProxies.forEach { proxy -> proxy.closeConnections() }
                caller.readUntil("t${100 * (it + 1)} ")
            }
            val rest = caller.readRest()
            (201..300).forEach { rest shouldContain "\"t$it \"" }
            Regex("\"t250 \"").findAll(rest).count() shouldBe 1
            rest shouldContain "[DONE]"
            fleet.spentTokens("w1") shouldBe 300 + PROMPT_TOKENS
            fleet.engines.sumOf { it.stats().requests["w1:broken"]?.started ?: 0 } shouldBe 1
            caller.close()
        }

        test(
            "an engine that crashes during a stream: the response ends with an error event, without [DONE], and what was relayed is billed",
        ) {
            val caller = open("w2", "dead", 3000)
            val engine = fleet.engineOf("w2:dead")
            fleet.engineProxies[engine].close()
            val rest = caller.readRest()
            val whole = fleet.caller(0).use { it.chat("w0", 5, "after", isStream = false) }
            fleet.engineProxies[engine].reopen()
            whole.status shouldBe 200
            rest shouldContain "\"error\""
            rest shouldNotContain "[DONE]"
            val relayed =
                Regex("\"t(\\d+) \"")
                    .findAll(rest)
                    .lastOrNull()
                    ?.groupValues
                    ?.get(1)
                    ?.toLong() ?: 3
            // The engine could not report its count of the prompt, so the reserved bound of the prompt is charged.
            fleet.spentTokens("w2") shouldBe relayed + MAX_PROMPT_TOKENS
            fleet.reservedTokens("w2") shouldBe 0
            caller.close()
            eventually(10.seconds) {
                fleet.routers.forEach { router ->
                    router.view().endpoints.all { it.isInRotation } shouldBe
                        true
                }
            }
        }

        test(
            "a stream that exceeds the timeout of its route: it ends with an error event, the engine is cancelled, and what it generated is billed",
        ) {
            val response =
                fleet.caller(0).use {
                    it.call("POST /v1/short", RawCaller.chatBody(30_000), "w12", "X-Request-Id: long")
                }
            response.body shouldContain "\"error\""
            response.isDone shouldBe false
            val counts =
                fleet.engines[fleet.engineOf("w12:long")]
                    .stats()
                    .requests
                    .getValue("w12:long")
            counts.cancelled shouldBe 1
            fleet.spentTokens("w12") shouldBe counts.generatedTokens + PROMPT_TOKENS
        }

        test("a caller that disconnects: the engine is cancelled, and what it generated is billed") {
            val caller = open("w3", "gone", 3000, tokens = 40)
            caller.close()
            val engine = fleet.engines[fleet.engineOf("w3:gone")]
            eventually(5.seconds) { fleet.reservedTokens("w3") shouldBe 0 }
            val counts = engine.stats().requests.getValue("w3:gone")
            counts.cancelled shouldBe 1
            counts.generatedTokens.shouldBeBetween(40, 2999)
            fleet.spentTokens("w3") shouldBe counts.generatedTokens + PROMPT_TOKENS
        }

        test(
            "a caller that disconnects before the first token: the engine is cancelled, and only the prompt is billed",
        ) {
            fleet.engines.forEach { it.settings = defaultSettings.copy(tokenMillis = 3000.0) }
            val caller = fleet.caller(0)
            caller.sendChat("w4", 10, "early")
            eventually(5.seconds) { fleet.engineOf("w4:early") shouldBeInRange 0..1 }
            caller.close()
            eventually(5.seconds) { fleet.reservedTokens("w4") shouldBe 0 }
            fleet.engines[fleet.engineOf("w4:early")]
                .stats()
                .requests
                .getValue("w4:early")
                .cancelled shouldBe 1
            fleet.spentTokens("w4") shouldBe PROMPT_TOKENS
        }

        test("a caller that disconnects before the engine accepted its request: nothing is billed") {
            fleet.isHoldingRequests = true
            fleet.receivedRequests.clear()
            val caller = fleet.caller(0)
            caller.sendChat("w0", 10, "untaken")
            eventually(5.seconds) { fleet.receivedRequests.count { it.second.startsWith("POST") } shouldBe 1 }
            val spentBefore = fleet.spentTokens("w0")
            caller.close()
            eventually(5.seconds) { fleet.reservedTokens("w0") shouldBe 0 }
            fleet.isHoldingRequests = false
            fleet.spentTokens("w0") shouldBe spentBefore
        }

        test("no endpoint accepts the request: it is refused as not run, and nothing is billed") {
            fleet.engines.forEach { it.isDraining = true }
            repeat(3) {
                fleet.caller(it).use { caller ->
                    caller.chat("w4", 1, "refused-$it").body shouldContain
                        "\"ran\":\"no\""
                }
            }
            fleet.spentTokens("w4") shouldBe PROMPT_TOKENS
            fleet.engines.forEach { it.isDraining = false }
            eventually(10.seconds) {
                fleet.routers.forEach { router ->
                    router.view().endpoints.all { it.isInRotation } shouldBe
                        true
                }
            }
        }

        test(
            "a retry through another router while the first still serves the stream: one complete response, billed once",
        ) {
            val first = open("w5", "twice", 400)
            val second = fleet.caller(1).use { it.chat("w5", 400, "twice") }
            second.text shouldBe RawCaller.expectedText(400)
            second.isDone shouldBe true
            first.readRest() shouldNotContain "[DONE]"
            first.close()
            eventually(5.seconds) { fleet.reservedTokens("w5") shouldBe 0 }
            fleet.spentTokens("w5") shouldBe 400 + PROMPT_TOKENS
            fleet.engines.sumOf { it.stats().requests["w5:twice"]?.started ?: 0 } shouldBe 1
            val replayed = fleet.caller(2).use { it.chat("w5", 400, "twice") }
            replayed.text shouldBe RawCaller.expectedText(400)
            fleet.spentTokens("w5") shouldBe 400 + PROMPT_TOKENS
        }

        test("two retries through other routers while the stream is still served: one complete response, billed once") {
            val first = open("w8", "passed", 1000)
            val second = fleet.caller(1)
            second.sendChat("w8", 1000, "passed")
            second.readUntil("t50 ")
            val third = fleet.caller(2).use { it.chat("w8", 1000, "passed") }
            third.text shouldBe RawCaller.expectedText(1000)
            listOf(first, second).forEach {
                it.readRest() shouldNotContain "[DONE]"
                it.close()
            }
            eventually(5.seconds) { fleet.reservedTokens("w8") shouldBe 0 }
            fleet.spentTokens("w8") shouldBe 1000 + PROMPT_TOKENS
        }

        test("retries that arrive at the same time: one response, billed once; the others are refused as unfinished") {
            fleet.caller(0).use { it.chat("w7", 1) }
            val before = fleet.spentTokens("w7")
            val responses =
                coroutineScope {
                    List(
                        6,
                    ) { async { fleet.caller(0).use { it.chat("w7", 100, "together") } } }.awaitAll()
                }
            fleet.caller(1).use { it.chat("w7", 100, "together").text } shouldBe RawCaller.expectedText(100)
            responses.filter { it.isDone }.forEach { it.text shouldBe RawCaller.expectedText(100) }
            responses.filter { it.status == 409 }.forEach { it.body shouldContain "\"ran\":\"unknown\"" }
            eventually(5.seconds) { fleet.reservedTokens("w7") shouldBe 0 }
            fleet.spentTokens("w7") - before shouldBe 100 + PROMPT_TOKENS
        }

        test("a retry through the same router: the earlier run is found, and the request is billed once") {
            val first = open("w6", "same", 400)
            val second = fleet.caller(0).use { it.chat("w6", 400, "same") }
            second.text shouldBe RawCaller.expectedText(400)
            first.readRest() shouldNotContain "[DONE]"
            first.close()
            val replayed = fleet.caller(0).use { it.chat("w6", 400, "same") }
            replayed.text shouldBe RawCaller.expectedText(400)
            fleet.spentTokens("w6") shouldBe 400 + PROMPT_TOKENS
        }

        test("the same request identity in two workspaces: each gets its own response and is billed for it") {
            val before = listOf("w7", "w8").map(fleet::spentTokens)
            val responses =
                coroutineScope {
                    listOf("w7" to 50, "w8" to 80)
                        .mapIndexed {
                            router,
                            (workspace, tokens),
                            ->
                            async { fleet.caller(router).use { it.chat(workspace, tokens, "shared") } }
                        }.awaitAll()
                }
            responses.map { it.text } shouldBe listOf(RawCaller.expectedText(50), RawCaller.expectedText(80))
            listOf("w7", "w8").map(fleet::spentTokens) shouldBe
                listOf(before[0] + 50 + PROMPT_TOKENS, before[1] + 80 + PROMPT_TOKENS)
        }

        test("a lost response to a booking: reported as an unknown outcome, and no retry is forwarded") {
            fleet.serviceProxy.isDroppingResponses = true
            val lost = fleet.caller(0).use { it.call(BOOK, "{}", "w9", "Idempotency-Key: lost-1") }
            fleet.serviceProxy.isDroppingResponses = false
            lost.body shouldContain "\"ran\":\"unknown\""
            for (router in 0..2) {
                val retry = fleet.caller(router).use { it.call(BOOK, "{}", "w9", "Idempotency-Key: lost-1") }
                retry.status shouldBe 409
                retry.body shouldContain "\"ran\":\"unknown\""
            }
            fleet.service.effects().byKey["lost-1"] shouldBe 1
        }

        test(
            "the platform is down: model calls continue with the existing grants, bookings with new keys are refused as not run",
        ) {
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

        test(
            "an endpoint that drains while still listed: no new requests after its first draining response, back in rotation after a probe",
        ) {
            val engine = 0
            fleet.engines[engine].isDraining = true
            // One request shows router 0 the X-Draining header; the other routers learn it from router 0.
            fleet.caller(0).use { it.chat("w11", 1).isDone shouldBe true }
            eventually(3.seconds) {
                fleet.routers.forEach { router ->
                    router
                        .view()
                        .endpoints
                        .first { it.endpoint == "jezik-$engine" }
                        .isInRotation shouldBe
                        false
                }
            }
            fleet.receivedRequests.clear()
            repeat(12) { fleet.caller(it % 3).use { caller -> caller.chat("w11", 1).isDone shouldBe true } }
            fleet.receivedRequests.count { it.first == "jezik-$engine" && it.second.startsWith("POST") } shouldBe 0
            fleet.engines[engine].isDraining = false
            eventually(15.seconds) {
                fleet.routers.forEach { router ->
                    router
                        .view()
                        .endpoints
                        .first { it.endpoint == "jezik-$engine" }
                        .isInRotation shouldBe
                        true
                }
            }
            fleet.caller(0).use { it.chat("w11", 1, "back").isDone shouldBe true }
            fleet.engineOf("w11:back") shouldBe engine
        }

        test("slow callers: the buffered bytes stay within the limit, and a fast caller is served at the same time") {
            val text = "\"${"x".repeat(4_000_000)}\""
            val id =
                fleet
                    .caller(0)
                    .use {
                        it.call(BOOK, text, "w11", "Idempotency-Key: large")
                    }.body
                    .substringAfter("\"id\":\"")
                    .substringBefore('"')
            val slow = List(12) { RawCaller(fleet.routers[0].callerListenAddress, receiveBytes = 4096) }
            slow.forEach { it.send("GET /bookings/$id", workspace = "w11") }
            eventually(10.seconds) {
                fleet.routers[0].view().bufferedBytes shouldBeInLong
                    12L * 16 * 1024..12L * STREAM_BYTES
            }
            fleet.caller(0).use { it.chat("w11", 200).text } shouldBe RawCaller.expectedText(200)
            fleet.caller(0).use { it.call("GET /bookings/$id", workspace = "w11").body.length } shouldBe text.length
            // At the limit of the process new requests are refused, and the running ones still complete.
            val more = List(40) { RawCaller(fleet.routers[0].callerListenAddress, receiveBytes = 4096) }
            more.forEach { it.send("GET /bookings/$id", workspace = "w11") }
            eventually(10.seconds) {
                val refused = fleet.caller(0).use { it.chat("w11", 1) }
                refused.status shouldBe 503
                refused.body shouldContain "\"ran\":\"no\""
            }
            fleet.routers[0].view().bufferedBytes shouldBeLessThanOrEqualTo (1L shl 20) + (12 + 40) * 2L * CHUNK_BYTES
            slow
                .first()
                .readResponse()
                .body.length shouldBe text.length
            (slow + more).forEach { it.close() }
            eventually(10.seconds) { fleet.routers[0].view().bufferedBytes shouldBe 0 }
        }

        test("after all routers have stopped, the ledgers contain each bill once and no grant") {
            val spent = WORKSPACES.associateWith(fleet::spentTokens)
            fleet.stopRouters()
            WORKSPACES.associateWith { fleet.ledger(it).settledTokens } shouldBe spent
            WORKSPACES.forEach { fleet.ledger(it).holders shouldBe emptyMap() }
        }
    }) {
    private companion object {
        const val BOOK = "POST /bookings"

        /** Prompt tokens of [RawCaller.chatBody] as the engine stand-in counts them. */
        const val PROMPT_TOKENS = 4L

        /** Initial bound of the router on the prompt tokens of [RawCaller.chatBody]: its prompt bytes. */
        const val MAX_PROMPT_TOKENS = 43L
        const val STREAM_BYTES = 64 * 1024
        const val CHUNK_BYTES = 16 * 1024
        val WORKSPACES = (1..12).map { "w$it" }

        infix fun Long.shouldBeInLong(range: LongRange) = shouldBeBetween(range.first, range.last)
    }
}
