package io.limpetfold.budget

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import java.time.Duration
import kotlin.random.Random

class BudgetOutageTest :
    FunSpec({
        test(
            "guards against a router that has no tokens for its first call of a workspace during an outage although peers have some",
        ) {
            val fleet = Fleet(paidTokens = 1_000)
            val first = fleet.agent("a")
            val second = fleet.agent("b")
            second.openAccount(WORKSPACE) shouldBe true
            first
                .reserve(
                    WORKSPACE,
                    RequestId("r-1"),
                    900,
                    Duration.ZERO,
                ).get()
                .shouldNotBeNull()
                .let { first.settle(it, 0) }
            second.requestLedgerSync()
            second.maintain()
            fleet.fault = StoreFault.UNAVAILABLE
            second.reserve(WORKSPACE, RequestId("r-2"), 300, Duration.ofMillis(500)).get().shouldNotBeNull()
        }

        test("guards against callers that each wait for the unreachable store, one after the other") {
            val fleet = Fleet(paidTokens = 1_000)
            val agent = fleet.agent("a")
            agent.openAccount(WORKSPACE)
            fleet.fault = StoreFault.UNAVAILABLE
            agent.reserve(WORKSPACE, RequestId("r-1"), 5_000, Duration.ZERO).getError().shouldNotBeNull()
            val before = fleet.storeCalls
            repeat(
                20,
            ) { agent.reserve(WORKSPACE, RequestId("r-$it"), 5_000L + it, Duration.ZERO).getError().shouldNotBeNull() }
            fleet.storeCalls shouldBe before
        }

        test("guards against a call to the store for each refused request of a workspace with insufficient budget") {
            val fleet = Fleet(paidTokens = 100)
            val agent = fleet.agent("a")
            agent.reserve(WORKSPACE, RequestId("r"), 95, Duration.ZERO).get().shouldNotBeNull()
            agent
                .reserve(
                    WORKSPACE,
                    RequestId("r"),
                    500,
                    Duration.ZERO,
                ).getError()
                .shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            val before = fleet.storeCalls
            repeat(20) {
                agent
                    .reserve(WORKSPACE, RequestId("r-$it"), 480L - it, Duration.ofSeconds(1))
                    .getError()
                    .shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            }
            fleet.storeCalls shouldBe before
        }

        test(
            "guards against a paid total that an older configuration restores, and one that is lowered and spent again",
        ) {
            val fleet = Fleet(paidTokens = 100)
            val agent = fleet.agent("a")
            agent
                .reserve(
                    WORKSPACE,
                    RequestId("r-1"),
                    80,
                    Duration.ZERO,
                ).get()
                .shouldNotBeNull()
                .let { agent.settle(it, 80) }
            val late = fleet.agent("b", { PaidTotal(1_000, version = 0) })
            late.reserve(WORKSPACE, RequestId("r-2"), 50, Duration.ZERO).getError().shouldNotBeNull()
            fleet.paid = PaidTotal(60, version = 2)
            agent.resetPlatformBackoff()
            agent.reserve(WORKSPACE, RequestId("r-3"), 30, Duration.ZERO).getError().shouldNotBeNull()
        }

        test("guards against a refusal for insufficient budget when other requests reserve the granted tokens first") {
            val fleet = Fleet(paidTokens = 100_000)
            lateinit var agent: BudgetAgent
            var competingReserves = 0
            agent =
                fleet.agent("a") { event ->
                    if (event is BudgetEvent.Synchronised && event.acquiredTokens > 0) {
                        competingReserves++
                        val granted = agent.accounts().single().availableTokens
                        runBlocking { agent.reserve(WORKSPACE, RequestId("other"), granted, Duration.ZERO) }
                    }
                }
            agent
                .reserve(
                    WORKSPACE,
                    RequestId("r"),
                    1_000,
                    Duration.ZERO,
                ).getError()
                .shouldBeInstanceOf<BudgetRefusal.PlatformUnavailable>()
            competingReserves shouldBeGreaterThan 0
        }

        test("guards against a loan that reserves more than it needs while a request waits for tokens") {
            val fleet = Fleet(paidTokens = 100_000)
            val agent = fleet.agent("a")
            agent
                .reserve(
                    WORKSPACE,
                    RequestId("r-1"),
                    10_000,
                    Duration.ZERO,
                ).get()
                .shouldNotBeNull()
                .let { agent.settle(it, 0) }
            fleet.fault = StoreFault.UNAVAILABLE
            coroutineScope {
                val waiting =
                    async(start = CoroutineStart.UNDISPATCHED) {
                        agent.reserve(WORKSPACE, RequestId("r-2"), 90_000, Duration.ofMillis(200))
                    }
                agent
                    .reserve(
                        WORKSPACE,
                        RequestId("loan"),
                        100,
                        Duration.ZERO,
                        maxTokens = 5_000,
                    ).get()
                    .shouldNotBeNull()
                    .tokens shouldBe
                    100
                waiting.await().getError().shouldNotBeNull()
            }
            agent
                .reserve(
                    WORKSPACE,
                    RequestId("loan"),
                    100,
                    Duration.ZERO,
                    maxTokens = 2_000,
                ).get()
                .shouldNotBeNull()
                .tokens shouldBe
                2_000
        }

        test(
            "guards against an account that is refilled only when it has run out, and has no tokens when an outage begins",
        ) {
            val fleet = Fleet(paidTokens = 1_000_000)
            val agent = fleet.agent("a")
            repeat(20) {
                agent.reserve(WORKSPACE, RequestId("r-$it"), 1_000, Duration.ZERO).get().shouldNotBeNull()
                fleet.clock.advance(Duration.ofMillis(500))
                agent.maintain()
            }
            fleet.fault = StoreFault.UNAVAILABLE
            repeat(8) { agent.reserve(WORKSPACE, RequestId("x-$it"), 1_000, Duration.ZERO).get().shouldNotBeNull() }
        }
    }) {
    private class Fleet(
        paidTokens: Long,
    ) {
        val clock = TestClock()
        val hub = FakePeerHub()
        var fault = StoreFault.NONE
        var storeCalls = 0
        var paid = PaidTotal(paidTokens, version = 1)
        private val store = FakeObjectStore()

        fun agent(
            name: String,
            paidTotal: () -> PaidTotal = { paid },
            listener: BudgetListener = BudgetListener.NONE,
        ): BudgetAgent {
            val view =
                store.withFaults {
                    storeCalls++
                    fault
                }
            val self = Incarnation(InstanceId(name), 1)
            return BudgetAgent(self, view, hub.join(self), {
                POLICY
            }, clock.monotonic, Random(1), listener, paidTotalOf = { paidTotal() })
        }
    }

    private companion object {
        val WORKSPACE = WorkspaceId("w")
        val POLICY =
            BudgetPolicy(
                horizon = Duration.ofSeconds(10),
                grantFraction = 0.5,
                demandWindow = Duration.ofSeconds(8),
                retryDelay = Duration.ofMillis(150),
                maxRetryDelay = Duration.ofSeconds(1),
                waitsWhenInsufficient = false,
                refillBelow = 0.65,
            )
    }
}
