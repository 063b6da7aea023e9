package io.limpetfold.router

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.limpetfold.budget.BudgetLedger
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

/**
 * Guards, with real processes, against requests that a graceful shutdown cuts off, and against responses that are lost
 * or billed twice after a router was killed.
 */
class GracefulStopProcessTest :
    FunSpec({
        val fleet = TestFleet()
        val processes = List(TestFleet.ROUTERS) { fleet.startProcess(it) }
        fleet.engines.forEach { it.settings = it.settings.copy(tokenMillis = 4.0) }
        afterSpec { fleet.close() }

        fun BudgetLedger.holdersOf(router: Int) = holders.filterKeys { it.startsWith("router-$router@") }

        beforeSpec {
            eventually(60.seconds) {
                processes.forEach {
                    it.operator("/readyz")?.status shouldBe 200
                    Regex("\"isDraining\"").findAll(it.operator("/status")?.body.orEmpty()).count() shouldBe
                        TestFleet.ROUTERS - 1
                }
            }
        }

        test("SIGTERM during open streams: none is cut off, the exit code is 0 and the grants are returned") {
            val callers = List(6) { RawCaller(processes[2].callers) }
            callers.forEach {
                it.sendChat("w1", 300)
                it.readUntil("t2 ")
            }
            fleet.ledger("w1").holdersOf(2).size shouldBe 1
            processes[2].terminate()
            val rests = coroutineScope { callers.map { async { it.readRest() } }.awaitAll() }
            rests.forEach {
                it shouldContain "\"t300 \""
                it shouldContain "[DONE]"
            }
            processes[2].awaitExit() shouldBe 0
            fleet.ledger("w1").holdersOf(2) shouldBe emptyMap()
            fleet.ledger("w1").settledTokens shouldBe 6 * (300 + PROMPT_TOKENS)
        }

        test(
            "a killed router: a retry through another router gets the complete response, and the request is billed once",
        ) {
            val caller = RawCaller(processes[0].callers)
            caller.sendChat("w2", 500, "killed")
            caller.readUntil("t20 ")
            processes[0].kill()
            caller.readRest() shouldContain "cut"
            val response = RawCaller(processes[1].callers).use { it.chat("w2", 500, "killed") }
            response.status shouldBe 200
            response.text shouldBe RawCaller.expectedText(500)
            response.isDone shouldBe true
            fleet.engines.sumOf { it.stats().requests["w2:killed"]?.started ?: 0 } shouldBe 1
            processes[1].terminate()
            processes[1].awaitExit() shouldBe 0
            val ledger = fleet.ledger("w2")
            ledger.settledTokens shouldBe 500 + PROMPT_TOKENS
            // The grant of the killed router stays in the ledger until it is reclaimed; the router reported no spend.
            ledger.holdersOf(1) shouldBe emptyMap()
            ledger.holdersOf(0).values.map { it.reportedSpentTokens } shouldBe listOf(0L)
        }
    }) {
    private companion object {
        const val PROMPT_TOKENS = 4L
    }
}
