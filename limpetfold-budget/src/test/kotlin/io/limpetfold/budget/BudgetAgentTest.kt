package io.limpetfold.budget

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.SeededScheduler
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import java.time.Duration
import kotlin.random.Random
import kotlin.time.TimeSource

class BudgetAgentTest :
    FunSpec({
        test("a grant whose response is lost is credited once when the platform responds again") {
            val fleet = Fleet()
            fleet.topUp(1_000)
            val agent = fleet.agent("a")
            fleet.fault = { if (it is StoreCall.Put) StoreFault.RESPONSE_LOST else StoreFault.NONE }
            agent.reserve(100).get().shouldNotBeNull()

            fleet.fault = { StoreFault.NONE }
            agent.maintain()

            fleet
                .ledger()
                .holders.values
                .single()
                .acquiredTokens shouldBe agent.accounts().single().grantedTokens
            fleet
                .ledger()
                .holders.values
                .single()
                .sequence shouldBe 1
        }

        test(
            "a reservation is refused in an outage that follows a lost response, and its grant is credited once afterwards",
        ) {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            var isDown = false
            fleet.fault = { call ->
                if (isDown) {
                    StoreFault.UNAVAILABLE
                } else {
                    isDown = call is StoreCall.Put
                    if (isDown) StoreFault.RESPONSE_LOST else StoreFault.NONE
                }
            }
            agent.reserve(100).getError().shouldBeInstanceOf<BudgetRefusal.PlatformUnavailable>()

            fleet.fault = { StoreFault.NONE }
            fleet.clock.advance(Duration.ofSeconds(3))
            agent.reserve(100).get().shouldNotBeNull()
            fleet
                .ledger()
                .holders.values
                .single()
                .acquiredTokens shouldBe 100
        }

        test("a transfer whose response is lost is credited once, by the next response") {
            val fleet = Fleet()
            fleet.topUp(100)
            val (a, b) = fleet.lostTransfer()

            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.clock.advance(Duration.ofSeconds(3))
            b.reserve(30).get().shouldNotBeNull()
            a.accounts().single().grantedTokens shouldBe 70
            b.accounts().single().grantedTokens shouldBe 30
        }

        test("a transfer whose response is lost is credited once, from the ledger") {
            val fleet = Fleet()
            fleet.topUp(100)
            val (a, b) = fleet.lostTransfer()

            fleet.fault = { StoreFault.NONE }
            fleet.maintainAll(a, b)
            b.reserve(30).get().shouldNotBeNull()
            fleet.ledger().holders.mapValues { it.value.grantedTokens } shouldBe mapOf("a@1" to 70L, "b@1" to 30L)
        }

        test("reservations made while a refill is in progress share its write") {
            val fleet = Fleet()
            fleet.topUp(1_000_000)
            val gate = CompletableDeferred<Unit>()
            fleet.beforeGet = { gate.await() }
            val agent = fleet.agent("a")
            val before = fleet.store.writeCount
            coroutineScope {
                val waiting = (1..200).map { async { agent.reserve(10, Duration.ofMinutes(1)) } }
                yield()
                gate.complete(Unit)
                waiting.awaitAll().count { it.get() != null } shouldBe 200
            }
            fleet.store.writeCount - before shouldBe 1
        }

        test("a caller that joined a failed refill for more tokens makes its own attempt without waiting") {
            val fleet = Fleet()
            fleet.topUp(50)
            val gate = CompletableDeferred<Unit>()
            fleet.beforeGet = { gate.await() }
            val agent = fleet.agent("a")
            val scheduler = SeededScheduler(Random(1), fleet.clock)
            val scope = CoroutineScope(scheduler.RouterDispatcher())
            val large = scope.async { agent.reserve(60) }
            while (scheduler.step()) Unit
            val small = scope.async { agent.reserve(40, Duration.ofMinutes(1)) }
            while (scheduler.step()) Unit
            gate.complete(Unit)
            while (scheduler.step()) Unit

            small.isCompleted shouldBe true
            small.await().get().shouldNotBeNull()
            large.await().getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
        }

        test("a caller retries when another one reserves its grant first, and is not refused for insufficient budget") {
            val fleet = Fleet()
            fleet.topUp(1_000)
            var competingReserves = 0
            lateinit var agent: BudgetAgent
            fleet.listener =
                BudgetListener { event ->
                    if (event is BudgetEvent.Synchronised &&
                        competingReserves++ == 0
                    ) {
                        runBlocking { agent.reserve(10).get().shouldNotBeNull() }
                    }
                }
            agent = fleet.agent("a")
            agent.reserve(10).get().shouldNotBeNull()
            competingReserves shouldBe 2
        }

        test("concurrent reservations and settlements on several threads neither overspend nor lose a charge") {
            val fleet = Fleet()
            fleet.topUp(1_000)
            val agent = fleet.agent("a")
            val charged =
                withContext(Dispatchers.Default) {
                    (1..400)
                        .map { number ->
                            async {
                                agent.reserve(7).get()?.let { agent.settle(it, number % 9L).chargedTokens }
                                    ?: 0
                            }
                        }.awaitAll()
                }
            agent.close().get().shouldNotBeNull()
            fleet.ledger().settledTokens shouldBe charged.sum()
        }

        test("a settlement charges at most the reserved tokens, and a repeated one charges nothing") {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            val reservation = agent.reserve(40).get().shouldNotBeNull()

            agent.settle(reservation, 90) shouldBe Settlement(reservation.holder, 40, 0, 40, isRepeated = false)
            agent.settle(reservation, 90) shouldBe Settlement(reservation.holder, 0, 0, 40, isRepeated = true)
        }

        test("a waiting caller gets tokens that another request releases") {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            val held = agent.reserve(100).get().shouldNotBeNull()
            coroutineScope {
                val waiting = async { agent.reserve(60, Duration.ofMinutes(1)) }
                yield()
                agent.settle(held, 10)
                waiting.await().get().shouldNotBeNull()
            }
        }

        test("a waiting caller gets tokens of a later top-up") {
            val fleet = Fleet()
            fleet.topUp(10)
            val agent =
                fleet.agent(
                    "a",
                    fleet.policy.copy(retryDelay = Duration.ofMillis(5), maxRetryDelay = Duration.ofMillis(5)),
                    isRealTime = true,
                )
            coroutineScope {
                val waiting = async { agent.reserve(60, Duration.ofMinutes(1)) }
                yield()
                fleet.topUp(100, "second")
                waiting.await().get().shouldNotBeNull()
            }
        }

        test("an attempt for fewer tokens is made during the backoff after a failed larger one") {
            val fleet = Fleet()
            fleet.topUp(50)
            val agent = fleet.agent("a")
            agent
                .reserve(60)
                .getError()
                .shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
                .freeTokens shouldBe 50
            val calls = fleet.store.callCount
            agent.reserve(60).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            fleet.store.callCount shouldBe calls

            agent.reserve(40).get().shouldNotBeNull()
        }

        test("an unknown workspace and a closed router are different refusals") {
            val fleet = Fleet()
            val agent = fleet.agent("a")
            agent.reserve(1).getError().shouldBeInstanceOf<BudgetRefusal.UnknownWorkspace>()
            agent.close()
            agent.reserve(1).getError().shouldBeInstanceOf<BudgetRefusal.RouterClosed>()
        }

        test(
            "a new process closes the entry of its predecessor once the predecessor's spend is known, and no other entry",
        ) {
            val fleet = Fleet()
            fleet.topUp(1_000)
            fleet.agent("a").let { it.settle(it.reserve(40).get().shouldNotBeNull(), 25) }
            fleet
                .agent("b")
                .reserve(50)
                .get()
                .shouldNotBeNull()
            var spentTokens: Long? = null
            val agent =
                fleet.agent("a", number = 2, predecessorSpend = { holder, _ ->
                    spentTokens.also {
                        holder.key shouldBe
                            "a@1"
                    }
                })
            agent.reserve(10).get().shouldNotBeNull()
            fleet.maintainAll(agent)
            fleet.ledger().holders.keys shouldBe setOf("a@1", "a@2", "b@1")

            spentTokens = 25
            fleet.maintainAll(agent)
            fleet.ledger().settledTokens shouldBe 25
            fleet
                .ledger()
                .holders
                .filterValues { !it.isEnded }
                .keys shouldBe setOf("a@2", "b@1")
        }

        test("an idle account returns the tokens that its demand does not need and keeps the reserved ones") {
            val fleet = Fleet()
            fleet.topUp(10_000)
            val agent = fleet.agent("a", fleet.policy.copy(horizon = Duration.ofMinutes(2)))
            val open = agent.reserve(50).get().shouldNotBeNull()
            fleet
                .ledger()
                .holders
                .getValue("a@1")
                .grantedTokens shouldBe 600

            fleet.clock.advance(Duration.ofSeconds(59))
            agent.maintain()
            fleet
                .ledger()
                .holders
                .getValue("a@1")
                .grantedTokens shouldBe 600
            fleet.maintainAll(agent)
            fleet
                .ledger()
                .holders
                .getValue("a@1")
                .grantedTokens shouldBe 50
            agent.settle(open, 20).chargedTokens shouldBe 20
        }

        test(
            "an idle account is closed and opened again under a new holder, which a repeated settlement of the old one leaves unchanged",
        ) {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            val first = agent.reserve(40).get().shouldNotBeNull()
            agent.settle(first, 25)
            fleet.evictIdle(agent)
            agent.accounts().size shouldBe 0
            fleet.ledger().holders.size shouldBe 0
            fleet.ledger().freeTokens shouldBe 75

            val second = agent.reserve(40).get().shouldNotBeNull()
            second.holder.key shouldBe "a@2"
            agent.settle(first, 25).isRepeated shouldBe true
            agent.accounts().single().reservedTokens shouldBe 40
            val running = Incarnation(InstanceId("a"), 1)
            BudgetLedgerStore(fleet.store).stranded(persistentSetOf(running)).get() shouldBe emptyList()
        }

        test("an account is not closed while a caller waits for tokens") {
            val fleet = Fleet()
            fleet.topUp(10)
            val agent = fleet.agent("a")
            coroutineScope {
                val waiting = async { agent.reserve(60, Duration.ofHours(1)) }
                yield()
                fleet.evictIdle(agent)
                agent.accounts().single().state shouldBe AccountState.OPEN
                waiting.cancel()
            }
        }

        test("tokens that a peer sent to a closed account are not credited to the one opened after it") {
            val fleet = Fleet()
            fleet.topUp(100)
            val (a, b) = fleet.lostTransfer()
            fleet.fault = { StoreFault.NONE }
            fleet.evictIdle(b)
            fleet.maintainAll(a)
            a.reserve(70).get().shouldNotBeNull()
            fleet.ledger().freeTokens shouldBe 30

            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            b.reserve(40).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            b.accounts().single().grantedTokens shouldBe 0
        }

        test("an idle account keeps its tokens for peers while the platform is down") {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            agent.settle(agent.reserve(100).get().shouldNotBeNull(), 0)
            fleet.fault = { StoreFault.UNAVAILABLE }
            fleet.evictIdle(agent)
            agent.accounts().single().availableTokens shouldBe 100
        }

        test("a round of maintenance closes the idle account of one workspace only") {
            val fleet = Fleet()
            val agent = fleet.agent("a")
            val workspaces = (1..5).map { WorkspaceId("w$it") }
            workspaces.forEach { workspace ->
                BudgetLedgerStore(
                    fleet.store,
                ).topUp(workspace, TopUpId("2026-01-01/first"), 100).get().shouldNotBeNull()
                agent.settle(agent.reserve(workspace, RequestId("q"), 10, Duration.ZERO).get().shouldNotBeNull(), 0)
            }
            fleet.clock.advance(fleet.policy.idleAfter)
            val writes = workspaces.map { fleet.store.writeCount.also { agent.maintain() } } + fleet.store.writeCount
            writes.zipWithNext { before, after -> after - before } shouldBe List(5) { 1 }
            agent.accounts().size shouldBe 0
        }

        test("a caller with a maximum wait collects tokens from more peers than one without") {
            for (maxWait in listOf(Duration.ZERO, Duration.ofMinutes(1))) {
                val fleet = Fleet()
                fleet.topUp(161)
                repeat(8) { fleet.holding("r$it", 20) }
                val agent = fleet.holding("last", 1)
                fleet.fault = { StoreFault.UNAVAILABLE }
                val scheduler = SeededScheduler(Random(1), fleet.clock)
                val reserved = CoroutineScope(scheduler.RouterDispatcher()).async { agent.reserve(161, maxWait) }
                while (scheduler.step()) Unit

                agent.accounts().single().grantedTokens shouldBe if (maxWait.isZero) 81 else 161
                reserved.isCompleted shouldBe true
                (reserved.await().get() != null) shouldBe !maxWait.isZero
            }
        }

        test("the peer with the most unspent tokens, by the ledger and by its later responses, is asked first") {
            val fleet = Fleet()
            fleet.topUp(201)
            val amounts = listOf(30L, 90L, 10L, 10L, 20L, 20L, 20L)
            amounts.forEachIndexed { index, tokens -> fleet.holding("r$index", tokens) }
            val agent = fleet.holding("last", 1, fleet.policy.copy(peersPerAttempt = 1))
            fleet.fault = { StoreFault.UNAVAILABLE }
            for (tokens in listOf(50L, 35L, 25L)) agent.reserve(tokens).get().shouldNotBeNull()
        }

        test("grants follow the policy of their workspace, and a changed policy applies from the next grant") {
            val fleet = Fleet()
            fleet.topUp(1_000)
            BudgetLedgerStore(
                fleet.store,
            ).topUp(OTHER_WORKSPACE, TopUpId("2026-01-01/first"), 1_000).get().shouldNotBeNull()
            val large = fleet.policy.copy(horizon = Duration.ofMinutes(2))
            var other = fleet.policy
            val agent = fleet.agent("a") { if (it == WORKSPACE) large else other }
            agent.reserve(10).get().shouldNotBeNull()
            agent.reserve(OTHER_WORKSPACE, RequestId("q"), 10, Duration.ZERO).get().shouldNotBeNull()
            agent.accounts().associate { it.workspace to it.grantedTokens } shouldBe
                mapOf(WORKSPACE to 120L, OTHER_WORKSPACE to 10L)

            other = large
            agent.reserve(OTHER_WORKSPACE, RequestId("q"), 10, Duration.ZERO).get().shouldNotBeNull()
            agent.accounts().associate { it.workspace to it.grantedTokens }[OTHER_WORKSPACE] shouldBe 250
        }

        test("a close during an outage fails, lets nothing be charged afterwards, and succeeds when repeated") {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            val open = agent.reserve(40).get().shouldNotBeNull()
            fleet.fault = { StoreFault.UNAVAILABLE }
            agent.close().getError().shouldBeInstanceOf<StoreError.Unavailable>()
            agent.settle(open, 1).isRepeated shouldBe true

            fleet.fault = { StoreFault.NONE }
            agent.close().get().shouldNotBeNull()
            fleet.ledger().settledTokens shouldBe 40
            fleet.ledger().freeTokens shouldBe 60
        }

        test("operators can list and reclaim the grants of a router that has ended") {
            val fleet = Fleet()
            fleet.topUp(100)
            val agent = fleet.agent("a")
            agent.settle(agent.reserve(40).get().shouldNotBeNull(), 40)
            val ledgerStore = BudgetLedgerStore(fleet.store)
            ledgerStore
                .stranded(persistentSetOf())
                .get()
                ?.single()
                ?.holder
                ?.key shouldBe "a@1"

            ledgerStore.reclaim(WORKSPACE, Incarnation(InstanceId("a"), 1), 40).get()?.settledTokens shouldBe 40
            fleet.ledger().freeTokens shouldBe 60
        }
    }) {
    /** Routers that share one object store and one peer network, with faults that a test sets. */
    private class Fleet {
        val clock = TestClock()
        val store = FakeObjectStore()
        val hub = FakePeerHub()
        val policy = BudgetPolicy(horizon = Duration.ZERO, grantFraction = 0.5)
        var fault: (StoreCall) -> StoreFault = { StoreFault.NONE }
        var beforeGet: suspend () -> Unit = {}
        var listener = BudgetListener.NONE

        fun agent(
            name: String,
            policy: BudgetPolicy = this.policy,
            isRealTime: Boolean = false,
            number: Long = 1,
            predecessorSpend: PredecessorSpendLookup = PredecessorSpendLookup.NONE,
            policyOf: (WorkspaceId) -> BudgetPolicy = { policy },
        ): BudgetAgent {
            val self = Incarnation(InstanceId(name), number)
            val time = if (isRealTime) TimeSource.Monotonic else clock.monotonic
            val faulty = store.withFaults { fault(it) }
            val gated =
                object : ObjectStore by faulty {
                    override suspend fun get(key: ObjectKey) = faulty.get(key).also { beforeGet() }

                    override suspend fun getStale(key: ObjectKey) = get(key)
                }
            return BudgetAgent(
                self,
                gated,
                hub.join(self),
                policyOf,
                time,
                Random(1),
                listener,
                predecessorSpendLookup = predecessorSpend,
            )
        }

        /** A router that was granted [tokens] and has used none of them. */
        suspend fun holding(
            name: String,
            tokens: Long,
            policy: BudgetPolicy = this.policy,
        ): BudgetAgent = agent(name, policy).also { it.settle(it.reserve(tokens).get().shouldNotBeNull(), 0) }

        /** Runs the maintenance of [agents] after their next reports are due. */
        suspend fun maintainAll(vararg agents: BudgetAgent) {
            clock.advance(policy.reportInterval)
            agents.forEach { it.maintain() }
        }

        /** Runs the maintenance of [agent] when its accounts are idle. */
        suspend fun evictIdle(agent: BudgetAgent) {
            clock.advance(policy.idleAfter)
            agent.maintain()
        }

        suspend fun topUp(
            tokens: Long,
            reference: String = "first",
        ) = BudgetLedgerStore(store).topUp(WORKSPACE, TopUpId("2026-01-01/$reference"), tokens).get().shouldNotBeNull()

        suspend fun ledger(): BudgetLedger = BudgetLedgerStore(store).read(WORKSPACE).get().shouldNotBeNull()

        /** Router `a` held all tokens and sent 30 to `b`, which got no response; leaves the platform unavailable. */
        suspend fun lostTransfer(): Pair<BudgetAgent, BudgetAgent> {
            val a = agent("a")
            val b = agent("b")
            a.settle(a.reserve(100).get().shouldNotBeNull(), 0)
            hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            b.reserve(30).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            clock.advance(Duration.ofSeconds(3))
            fault = { StoreFault.UNAVAILABLE }
            val asked = hub.askCount(TRANSFER_TOPIC)
            hub.fault = { _, _ -> if (hub.askCount(TRANSFER_TOPIC) > asked) PeerFault.REPLY_LOST else PeerFault.NONE }
            b.reserve(30).getError().shouldBeInstanceOf<BudgetRefusal.PlatformUnavailable>()
            a.accounts().single().grantedTokens shouldBe 70
            return a to b
        }
    }

    private companion object {
        val WORKSPACE = WorkspaceId("school-kitchen")
        val OTHER_WORKSPACE = WorkspaceId("bonsai-hall")

        suspend fun BudgetAgent.reserve(
            tokens: Long,
            maxWait: Duration = Duration.ZERO,
        ): Result<Reservation, BudgetRefusal> = reserve(WORKSPACE, RequestId("q"), tokens, maxWait)
    }
}
