package io.limpetfold.budget.loan

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.kotest.matchers.nulls.shouldNotBeNull
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.PaidTotal
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/**
 * Routers that spend one budget.
 *
 * @property neighbours the approximate number of routers that each router is connected to and may borrow from; with 0
 * all are connected, and the first two routers lend.
 * @property zones the number of zones, each of which borrows from one of its first four routers; 0 for none.
 */
internal class LoanFleet(
    routerCount: Int,
    private val seed: Int = 1,
    private val neighbours: Int = 0,
    private val zones: Int = 0,
) {
    class Router(
        val self: Incarnation,
        val agent: BudgetAgent,
        val borrower: TokenBorrower,
        val lender: TokenLender,
        private val peers: PeerNetwork,
        private val selector: LenderSelector,
    ) {
        suspend fun maintain() {
            agent.maintain()
            borrower.maintain()
            lender.maintain(peers)
        }

        val lenders: List<InstanceId> get() = selector.lendersOf(WORKSPACE)
    }

    private val connections: Set<Pair<InstanceId, InstanceId>> = connect(routerCount)
    val hub =
        FakePeerHub { from, to ->
            if (neighbours == 0 ||
                (from to to) in connections
            ) {
                PeerFault.NONE
            } else {
                PeerFault.REQUEST_LOST
            }
        }
    var storeFault = StoreFault.NONE

    /** Whether routers find lenders; otherwise each uses its own account. */
    var hasLenders = true

    /** The number of loan requests sent so far. */
    val loanRequestCount: Int get() = hub.askCount(LOAN_TOPIC)
    val clock = TestClock()
    private val store = FakeObjectStore()
    private val sentRequests = CopyOnWriteArrayList<SentRequest>()
    val routers = MutableList(routerCount) { router(it, number = 1) }

    suspend fun ledger(): BudgetLedger = BudgetLedgerStore(store).read(WORKSPACE).get().shouldNotBeNull()

    /** The number of writes to the ledger by its current holders. */
    suspend fun storeWrites(): Int =
        ledger()
            .holders.values
            .sumOf { it.sequence }
            .toInt()

    suspend fun call(
        router: Router,
        tokens: Long = CALL_TOKENS,
        usedTokens: Long = USED_TOKENS,
    ): Result<TokenReservation, BudgetRefusal> =
        router.borrower.reserve(WORKSPACE, REQUEST, tokens, Duration.ZERO).map { reservation ->
            router.borrower.settle(reservation, minOf(tokens, usedTokens))
            reservation
        }

    /**
     * A call of random size through a random router, one in five without a settlement; returns the tokens that it may
     * have used.
     */
    suspend fun randomCall(random: Random): Long {
        val router = routers.random(random)
        val tokens = random.nextLong(1, 30_000)
        val reservation = router.borrower.reserve(WORKSPACE, REQUEST, tokens, Duration.ZERO).get() ?: return 0
        if (random.nextInt(5) == 0) return tokens
        val used = random.nextLong(tokens + 1)
        router.borrower.settle(reservation, used)
        return used
    }

    suspend fun advance(time: Duration) {
        clock.advance(time)
        for (router in routers) {
            router.maintain()
        }
    }

    /** Kills a router and starts the next process of its instance. */
    fun restart(index: Int) {
        hub.disconnect(routers[index].self.instance)
        routers[index] = router(index, routers[index].self.number + 1)
    }

    /** Delivers an earlier loan request again, or for the first time when it was lost; nobody gets its response. */
    suspend fun deliverAgain(random: Random) {
        sentRequests.randomOrNull(random)?.run { peers.ask(lender, LOAN_TOPIC, request, Duration.ZERO) }
    }

    /** The reserved and the spent tokens of all accounts. */
    fun accountTokens(): AccountTokens {
        val accounts = routers.flatMap { it.agent.accounts() }
        return AccountTokens(accounts.sumOf { it.reservedTokens }, accounts.sumOf { it.spentTokens })
    }

    data class AccountTokens(
        val reservedTokens: Long,
        val spentTokens: Long,
    )

    fun randomFault(random: Random): (InstanceId, InstanceId) -> PeerFault {
        val pairSeed = random.nextInt()
        return {
            from,
            to,
            ->
            PeerFault.entries[Random(pairSeed xor (from to to).hashCode()).nextInt(PeerFault.entries.size)]
        }
    }

    private fun router(
        index: Int,
        number: Long,
    ): Router {
        val self = Incarnation(InstanceId("router-$index"), number)
        val peers = hub.join(self)
        val agent =
            BudgetAgent(
                self,
                store.withFaults { storeFault },
                peers,
                { POLICY },
                clock.monotonic,
                Random(seed),
                predecessorSpendLookup = { _, _ -> PredecessorSpendLookup.WHOLE_GRANT },
                paidTotalOf = { PaidTotal(PAID, version = 1) },
            )
        val lender = TokenLender(agent, timeSource = clock.monotonic).also { it.register(peers) }
        val lenders =
            LenderSelector {
                when {
                    !hasLenders -> emptyList()
                    zones > 0 -> ofZone(index)
                    neighbours == 0 -> firstTwo(self.instance)
                    else -> ranked(self.instance)
                }
            }
        val borrower = TokenBorrower(self, agent, RecordingNetwork(peers), lenders, timeSource = clock.monotonic)
        borrower.register()
        return Router(self, agent, borrower, lender, peers, lenders)
    }

    private class SentRequest(
        val peers: PeerNetwork,
        val lender: InstanceId,
        val request: LoanRequest,
    )

    private inner class RecordingNetwork(
        private val peers: PeerNetwork,
    ) : PeerNetwork by peers {
        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            if (message is LoanRequest) sentRequests += SentRequest(peers, to, message)
            return peers.ask(to, topic, message, timeout)
        }
    }

    private fun firstTwo(self: InstanceId): List<InstanceId> = if (self in LENDERS) emptyList() else LENDERS

    private fun ofZone(index: Int): List<InstanceId> {
        val leaders = List(LEADERS) { InstanceId("router-${it * zones + index % zones}") }
        return RendezvousHash
            .rank(WORKSPACE.value, leaders) { it.value }
            .takeWhile { it != InstanceId("router-$index") }
    }

    private fun ranked(self: InstanceId): List<InstanceId> {
        val candidates = connections.filter { it.first == self }.map { it.second } + self
        return RendezvousHash.rank(WORKSPACE.value, candidates) { it.value }.takeWhile { it != self }
    }

    /** Connects each router to about [neighbours] others: to half of them by its own choice, to the rest by theirs. */
    private fun connect(routerCount: Int): Set<Pair<InstanceId, InstanceId>> {
        val names = List(routerCount) { InstanceId("router-$it") }
        val random = Random(seed)
        return names
            .flatMap { from ->
                (names - from).shuffled(random).take(neighbours / 2).flatMap {
                    listOf(
                        from to it,
                        it to from,
                    )
                }
            }.toSet()
    }

    companion object {
        const val PAID = 1_000_000L
        const val CALL_TOKENS = 1_000L
        const val USED_TOKENS = 700L
        val WORKSPACE = WorkspaceId("w")
        val REQUEST = RequestId("r")
        private const val LEADERS = 4
        val LENDERS = listOf(InstanceId("router-0"), InstanceId("router-1"))
        private val POLICY =
            BudgetPolicy(
                horizon = Duration.ofSeconds(13),
                grantFraction = 0.5,
                demandWindow = Duration.ofSeconds(8),
                maxHeldFraction = 0.6,
                minAccountFraction = 0.1,
                waitsWhenInsufficient = false,
                refillBelow = 0.55,
                maxExcessRatio = 0.5,
            )
    }
}
