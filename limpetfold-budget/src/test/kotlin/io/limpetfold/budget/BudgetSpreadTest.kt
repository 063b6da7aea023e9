package io.limpetfold.budget

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlin.random.Random

/**
 * Load pattern: all calls of a workspace go through one router, the store is unreachable for seconds, and all routers
 * lose power.
 */
class BudgetSpreadTest :
    FunSpec({
        test("guards against tokens that stay with a router that took them while it knew of no other router") {
            val fleet = Fleet(routerCount = 1)
            fleet.openAccounts()
            fleet.routerCount = 8
            fleet.agents.forEach { it.requestLedgerSync() }
            repeat(3) { fleet.round() }
            for (agent in fleet.agents) agent.held() shouldBeLessThanOrEqual PAID / 20
            fleet.free() shouldBeGreaterThan PAID * 8 / 10
        }

        test(
            "guards against an outage of the store in which the only router with calls runs out of tokens within seven seconds",
        ) {
            val fleet = Fleet(routerCount = 8)
            fleet.openAccounts()
            repeat(20) { fleet.round(callsOnFirst = 20) }
            fleet.fault = StoreFault.UNAVAILABLE
            // Seven seconds at twenty calls a second.
            repeat(140) { fleet.call(fleet.agents.first()).shouldNotBeNull() }
        }

        test(
            "guards against routers that together hold most of the unspent budget, which is lost when all of them lose power",
        ) {
            val fleet = Fleet(routerCount = 8)
            fleet.openAccounts()
            repeat(70) { fleet.round(callsOnFirst = 10) }
            fleet.agents.sumOf { it.held() } shouldBeLessThan (fleet.free() + fleet.agents.sumOf { it.held() }) / 2
        }

        test("guards against routers whose calls began first and that leave no tokens to others with the same demand") {
            val fleet = Fleet(routerCount = 8, POLICY.copy(maxHeldFraction = 0.2))
            repeat(5) { fleet.roundOf(fleet.agents.take(4)) }
            repeat(8) { fleet.roundOf(fleet.agents) }
            val heldTokens = fleet.agents.map { it.held() }
            heldTokens.sum() shouldBeLessThan (fleet.free() + heldTokens.sum()) / 4
            heldTokens.min() shouldBeGreaterThan heldTokens.sum() / 8 / 2
        }

        test("guards against a policy with a fraction or ratio out of range") {
            listOf<() -> BudgetPolicy>(
                { POLICY.copy(maxHeldFraction = 0.0) },
                { POLICY.copy(minAccountFraction = 1.5) },
                { POLICY.copy(refillBelow = -0.1) },
                { POLICY.copy(maxExcessRatio = 0.0) },
            ).count { runCatching(it).isFailure } shouldBe 4
        }
    }) {
    private class Fleet(
        var routerCount: Int,
        private val policy: BudgetPolicy = POLICY,
    ) {
        private val clock = TestClock()
        private val hub = FakePeerHub()
        private val store = FakeObjectStore()
        private var requests = 0
        var fault = StoreFault.NONE
        val agents = List(8) { agent("router-$it") }

        suspend fun openAccounts() = agents.forEach { it.openAccount(WORKSPACE) shouldBe true }

        /** Runs [callsOnFirst] calls at the first router, then one second later the maintenance of all. */
        suspend fun round(callsOnFirst: Int = 0) {
            repeat(callsOnFirst) { call(agents.first()).shouldNotBeNull() }
            clock.advance(Duration.ofSeconds(1))
            agents.forEach { it.maintain() }
        }

        /** Runs five calls at each of [busy], then one second later the maintenance of all. */
        suspend fun roundOf(busy: List<BudgetAgent>) {
            busy.forEach { agent -> repeat(5) { call(agent).shouldNotBeNull() } }
            round()
        }

        suspend fun call(agent: BudgetAgent): Settlement? =
            agent.reserve(WORKSPACE, RequestId("r-${requests++}"), CALL_TOKENS, Duration.ZERO).get()?.let {
                agent.settle(it, CALL_TOKENS)
            }

        suspend fun free(): Long =
            BudgetLedgerStore(store)
                .read(WORKSPACE)
                .get()
                .shouldNotBeNull()
                .freeTokens

        private fun agent(name: String): BudgetAgent {
            val self = Incarnation(InstanceId(name), 1)
            val policyOf = { _: WorkspaceId ->
                policy.copy(
                    minAccountFraction = 0.15 / routerCount,
                    grantFraction =
                        1.0 / routerCount,
                )
            }
            return BudgetAgent(
                self,
                store.withFaults {
                    fault
                },
                hub.join(self),
                policyOf,
                clock.monotonic,
                Random(1),
                paidTotalOf = { PaidTotal(PAID, 1) },
            )
        }
    }

    private companion object {
        const val PAID = 1_000_000L
        const val CALL_TOKENS = 1_000L
        val WORKSPACE = WorkspaceId("w")
        val POLICY =
            BudgetPolicy(
                horizon = Duration.ofSeconds(11),
                grantFraction = 0.15,
                demandWindow = Duration.ofSeconds(8),
                maxHeldFraction = 0.45,
                waitsWhenInsufficient = false,
                refillBelow = 0.7,
                maxExcessRatio = 0.5,
            )

        fun BudgetAgent.held(): Long = accounts().sumOf { it.availableTokens }
    }
}
