package io.limpetfold.budget

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import java.time.Duration

class BudgetRestoreTest :
    FunSpec({
        test(
            "guards against refills in a loop, and against refusals for budget, while a restored ledger withholds tokens",
        ) {
            val fleet = RestoredFleet()
            val agent = fleet.agent("a")
            agent.reserve(WORKSPACE, RequestId("r-1"), 100, Duration.ZERO).get().shouldNotBeNull()
            val copy = fleet.store.copy()
            agent.reserve(WORKSPACE, RequestId("r-2"), 500, Duration.ZERO).get().shouldNotBeNull()
            fleet.store.restore(copy)

            val before = fleet.store.callCount
            repeat(20) {
                agent
                    .reserve(WORKSPACE, RequestId("r-3"), 900, Duration.ZERO)
                    .getError()
                    .shouldBeInstanceOf<BudgetRefusal.PlatformUnavailable>()
            }
            fleet.store.callCount - before shouldBeLessThan 10
            fleet.events
                .filterIsInstance<BudgetEvent.HoldingConfirmed>()
                .single()
                .era shouldBe 1
        }

        test("guards against calls that wait although their tokens are withheld for longer than they may wait") {
            val fleet = RestoredFleet()
            val agent = fleet.agent("a")
            agent.reserve(WORKSPACE, RequestId("r-1"), 100, Duration.ZERO).get().shouldNotBeNull()
            fleet.store.restore(fleet.store.copy())
            agent.onStoreRestored()
            agent.maintain()
            val maxWait = BudgetPolicy.exposure.recoveryWait.minusMillis(500)
            val refusal = agent.reserve(WORKSPACE, RequestId("r-2"), 900, maxWait).getError()
            refusal.shouldBeInstanceOf<BudgetRefusal.PlatformUnavailable>()
            refusal.retryAfter shouldBe BudgetPolicy.exposure.recoveryWait
        }

        test("guards against withheld tokens that no holder frees after a restore") {
            val fleet = RestoredFleet()
            val copy = fleet.store.copy()
            val agent = fleet.agent("a")
            val other = fleet.agent("b")
            agent.reserve(WORKSPACE, RequestId("r-1"), 300, Duration.ZERO).get().shouldNotBeNull()
            other.reserve(WORKSPACE, RequestId("r-2"), 200, Duration.ZERO).get().shouldNotBeNull()
            fleet.store.restore(copy)
            // A ledger that no router has an entry of is found by the routers that still hold its tokens.
            listOf(agent, other).forEach {
                it.onStoreRestored()
                it.maintain()
            }
            fleet.clock.advance(BudgetPolicy.exposure.recoveryWait)
            agent.maintain()
            val ledger = BudgetLedgerStore(fleet.store).read(WORKSPACE).get().shouldNotBeNull()
            ledger.isRecovering shouldBe false
            ledger.holders.size shouldBe 2
            ledger.freeTokens shouldBe PAID_TOKENS - agent.heldTokens() - other.heldTokens()
        }

        test("guards against tokens that are granted again where the copy lacks the whole ledger") {
            val fleet = RestoredFleet(isPaidByConfiguration = true)
            val copy = fleet.store.copy()
            val agent = fleet.agent("a")
            agent.reserve(WORKSPACE, RequestId("r-1"), 600, Duration.ZERO).get().shouldNotBeNull()
            fleet.store.restore(copy)
            val other = fleet.agent("b")
            repeat(8) {
                listOf(other, agent).forEach {
                    it.onStoreRestored()
                    it.maintain()
                }
                fleet.clock.advance(Duration.ofSeconds(1))
                other.reserve(WORKSPACE, RequestId("r-2-$it"), 500, Duration.ZERO).get() shouldBe null
            }
            other.reserve(WORKSPACE, RequestId("r-3"), 400, Duration.ZERO).get().shouldNotBeNull()
            agent
                .accounts()
                .single()
                .state shouldBe AccountState.OPEN
        }

        test(
            "guards against tokens that are granted again while the store does not reach a holder that the copy lacks",
        ) {
            val fleet = RestoredFleet()
            val agent = fleet.agent("a")
            agent.reserve(WORKSPACE, RequestId("r-1"), 100, Duration.ZERO).get().shouldNotBeNull()
            val copy = fleet.store.copy()
            val cutOff = fleet.agent("c")
            val spentTokens =
                cutOff
                    .reserve(
                        WORKSPACE,
                        RequestId("r-2"),
                        600,
                        Duration.ZERO,
                    ).get()
                    .shouldNotBeNull()
                    .tokens
            fleet.store.restore(copy)
            agent.onStoreRestored()
            repeat(8) {
                agent.maintain()
                fleet.clock.advance(Duration.ofSeconds(1))
            }
            agent.reserve(WORKSPACE, RequestId("r-3"), PAID_TOKENS - spentTokens, Duration.ZERO).get() shouldBe null
        }

        test("guards against the spend of a router that stops while the restored store lacks the whole ledger") {
            val fleet = RestoredFleet(isPaidByConfiguration = true)
            val copy = fleet.store.copy()
            val agent = fleet.agent("a")
            val reservation = agent.reserve(WORKSPACE, RequestId("r-1"), 600, Duration.ZERO).get().shouldNotBeNull()
            agent.settle(reservation, 600)
            fleet.store.restore(copy)
            agent.close().getError() shouldBe null
            BudgetLedgerStore(fleet.store).read(WORKSPACE).get()?.settledTokens shouldBe 600
        }

        test("guards against ledgers of an earlier program that cannot be read") {
            val stored = """{"paidTokens":100,"holders":{"a@1":{"grantedTokens":40,"sequence":2}}}"""
            val ledger = TypedObject.JSON.decodeFromString(BudgetLedger.serializer(), stored)
            ledger.freeTokens shouldBe 60
            ledger.withheldTokens shouldBe 0
        }
    })

private class RestoredFleet(
    private val isPaidByConfiguration: Boolean = false,
) {
    val clock = TestClock()
    val store = FakeObjectStore()
    val events = mutableListOf<BudgetEvent>()
    private val hub = FakePeerHub()

    init {
        if (!isPaidByConfiguration) {
            kotlinx.coroutines.runBlocking {
                BudgetLedgerStore(
                    store,
                ).topUp(WORKSPACE, TopUpId("2026-01-01/t"), PAID_TOKENS)
            }
        }
    }

    fun agent(instance: String): BudgetAgent {
        val self = Incarnation(InstanceId(instance), 1)
        return BudgetAgent(
            self,
            EraCheckedStore(store, timeSource = clock.monotonic),
            hub.join(self),
            { BudgetPolicy.exposure },
            clock.monotonic,
            listener = { events += it },
            paidTotalOf = { PaidTotal(PAID_TOKENS, version = 1).takeIf { isPaidByConfiguration } },
        )
    }
}

private fun BudgetAgent.heldTokens(): Long = accounts().sumOf { it.grantedTokens }

private const val PAID_TOKENS = 1_000L
private val WORKSPACE = WorkspaceId("bonsai-hall")
