package io.limpetfold.sample.budget

import com.github.michaelbull.result.fold
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.PromptEstimator
import io.limpetfold.budget.Reservation
import io.limpetfold.budget.TopUpId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreFault
import kotlinx.coroutines.runBlocking
import java.time.Duration

/** Spends one prepaid budget through two routers and shows what an outage of the platform changes. */
fun main(): Unit = runBlocking { SampleBudget().run() }

private class SampleBudget {
    private val workspace = WorkspaceId("school-kitchen")
    private val platform = FakeObjectStore()
    private val hub = FakePeerHub()
    private val ledgerStore = BudgetLedgerStore(platform)
    private val estimator = PromptEstimator()
    private var isPlatformDown = false

    suspend fun run() {
        ledgerStore.topUp(workspace, TopUpId("2026-01-31/invoice-7"), tokens = 2_000)
        ledgerStore.topUp(workspace, TopUpId("2026-01-31/invoice-7"), tokens = 2_000)
        printLedger("topped up once by two calls with the same id")

        val first = router("router-1")
        val second = router("router-2")
        request(first, "visit-plan", "Plan the oven cleaning of the three schools in Moste.", usedTokens = 180)
        request(second, "chat", "When does the crew come?", usedTokens = 40)

        isPlatformDown = true
        println("the platform is down")
        request(
            second,
            "long-plan",
            "Draft the plans of all care homes in Siska.",
            outputTokens = 500,
            usedTokens = 450,
        )

        isPlatformDown = false
        println("the platform is back")
        request(first, "too-long", "Summarise the service history.", outputTokens = 5_000, usedTokens = 0)
        listOf(first, second).forEach { it.close() }
        printLedger("both routers have closed")
    }

    private fun router(name: String): BudgetAgent {
        val self = Incarnation(InstanceId(name), number = 1)
        val store = platform.withFaults { if (isPlatformDown) StoreFault.UNAVAILABLE else StoreFault.NONE }
        return BudgetAgent(self, store, hub.join(self))
    }

    private suspend fun request(
        router: BudgetAgent,
        name: String,
        prompt: String,
        usedTokens: Long,
        outputTokens: Long = 200,
    ) {
        val tokens = estimator.maxPromptTokens("jezik", prompt.encodeToByteArray().size.toLong()) + outputTokens
        router.reserve(workspace, RequestId(name), tokens, MAX_WAIT).fold(
            success = { settle(router, it, usedTokens) },
            failure = { printRefusal(name, it) },
        )
    }

    private fun settle(
        router: BudgetAgent,
        reservation: Reservation,
        usedTokens: Long,
    ) {
        val settlement = router.settle(reservation, usedTokens)
        println("${reservation.request}: reserved ${reservation.tokens}, charged ${settlement.chargedTokens}")
    }

    private fun printRefusal(
        name: String,
        refusal: BudgetRefusal,
    ) = println("$name: refused, ${refusal.message}; ${refusal.remedy}")

    private suspend fun printLedger(event: String) {
        val line =
            ledgerStore.read(workspace).fold(
                success = { "paid=${it?.paidTokens} settled=${it?.settledTokens} free=${it?.freeTokens}" },
                failure = { it.message },
            )
        println("$event: $line")
    }

    private companion object {
        val MAX_WAIT: Duration = Duration.ofMillis(500)
    }
}
