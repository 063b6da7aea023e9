package io.limpetfold.gateway.operate

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.PaidTotal
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.gateway.GatewayDefaults
import io.limpetfold.gateway.operate.FleetPolicies.Companion.scaledTo
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlin.random.Random

/**
 * Load pattern: all routers lose power up to three times in a day of about fifty seconds, single routers are killed, and
 * routers are cut off from the store, at random moments, while ten workspaces of unequal size use up budgets of 0.3 to
 * 3 times their demand.
 */
class PowerLossRecoveryTest :
    FunSpec({
        // Tokens held by routers that lost power counted as spent, so that two losses used up most of the budgets of a day.
        test(
            "guards against less than a quarter of the calls served from 12 s after a loss of power of all routers on",
        ) {
            for (seed in 1..SEEDS) {
                val day = Day(Random(seed))
                day.play()
                withClue("seed $seed: ${day.servedCalls} of ${day.coveredCalls} calls served") {
                    day.servedCalls.toDouble() shouldBeGreaterThanOrEqual day.coveredCalls / 4.0
                }
            }
        }
    })

private const val SEEDS = 200
private const val ROUTERS = 8
private const val WORKSPACES = 10
private const val CALLS_PER_SECOND = 20
private const val DAY_SECONDS = 52
private const val RECOVER_SECONDS = 12

/** A call counts as covered if it and all earlier ones fit into this fraction of what is paid. */
private const val COVERED_FRACTION = 0.97

/** Time that routers without power are away, and that they need to start. */
private const val DOWN_SECONDS = 2
private const val START_SECONDS = 1

private class Day(
    private val random: Random,
) {
    private val clock = TestClock()
    private val store = FakeObjectStore()
    private val hub =
        FakePeerHub { from, to ->
            if (isCut(from) ||
                isCut(to)
            ) {
                PeerFault.REQUEST_LOST
            } else {
                PeerFault.NONE
            }
        }
    private val workspaces = List(WORKSPACES) { Workspace("w$it") }
    private val lastLossSecond = 30 + random.nextInt(5)
    private val lossSeconds =
        List(random.nextInt(3)) { 2 + random.nextInt(lastLossSecond - RECOVER_SECONDS) } + lastLossSecond
    private val killSeconds = List(random.nextInt(4)) { random.nextInt(DAY_SECONDS) }
    private val cuts = List(random.nextInt(3)) { Cut() }
    private var second = 0
    private var restartSecond = 0
    private var requests = 0
    private var starts = 0L
    private val agents = MutableList(ROUTERS) { start(it) }

    /** Calls that the budgets cover from [RECOVER_SECONDS] after the last loss on. */
    var coveredCalls = 0
        private set

    /** Those of the [coveredCalls] that were served. */
    var servedCalls = 0
        private set

    suspend fun play() {
        openAccounts()
        while (second < DAY_SECONDS) {
            if (second in lossSeconds) restartSecond = second + DOWN_SECONDS + START_SECONDS
            if (second == restartSecond && second > 0) restartAll()
            if (second >= restartSecond) playSecond()
            clock.advance(Duration.ofSeconds(1))
            second++
        }
    }

    private suspend fun playSecond() {
        if (second in killSeconds) random.nextInt(ROUTERS).let { agents[it] = start(it) }
        repeat(CALLS_PER_SECOND) { call() }
        agents.forEach { it.maintain() }
    }

    private suspend fun restartAll() {
        agents.indices.forEach { agents[it] = start(it) }
        openAccounts()
    }

    private suspend fun openAccounts() = agents.forEach { agent -> workspaces.forEach { agent.openAccount(it.id) } }

    private suspend fun call() {
        val workspace = workspaces.random(random)
        val agent = agents[workspace.router()]
        val tokens = (workspace.meanTokens * (0.3 + 1.4 * random.nextDouble())).toLong()
        val isCovered = tokens <= workspace.paidTokens * COVERED_FRACTION - workspace.usedTokens
        val isCounted = isCovered && second >= lastLossSecond + DOWN_SECONDS + RECOVER_SECONDS
        if (isCounted) coveredCalls++
        val reserved = agent.reserve(workspace.id, RequestId("r-${requests++}"), tokens, Duration.ZERO).get() ?: return
        workspace.usedTokens += agent.settle(reserved, tokens).chargedTokens
        if (isCounted) servedCalls++
    }

    private fun isCut(router: InstanceId) = cuts.any { second in it.seconds && router in it.routers }

    private fun start(index: Int): BudgetAgent {
        val self = Incarnation(InstanceId("router-$index"), ++starts * 1_000)
        val policy = GatewayDefaults.BUDGET.scaledTo(ROUTERS)
        return BudgetAgent(
            self,
            store.withFaults { if (isCut(self.instance)) StoreFault.UNAVAILABLE else StoreFault.NONE },
            hub.join(self),
            { policy },
            clock.monotonic,
            Random(random.nextInt()),
            maxWorkspacesPerRound = WORKSPACES,
            predecessorSpendLookup = { _, _ -> PredecessorSpendLookup.WHOLE_GRANT },
            paidTotalOf = { id -> PaidTotal(workspaces.first { it.id == id }.paidTokens, 1) },
        )
    }

    /** A cut of routers from the store and from their peers. */
    private inner class Cut {
        val seconds = random.nextInt(DAY_SECONDS).let { it..it + 3 + random.nextInt(7) }
        val routers = List(1 + random.nextInt(ROUTERS)) { InstanceId("router-${random.nextInt(ROUTERS)}") }.toSet()
    }

    /** A workspace whose calls arrive at few of the routers. */
    private inner class Workspace(
        name: String,
    ) {
        val id = WorkspaceId(name)
        val meanTokens = 2_000 + random.nextLong(8_000)
        val paidTokens =
            (meanTokens * CALLS_PER_SECOND * DAY_SECONDS / WORKSPACES * (0.3 + 2.7 * random.nextDouble())).toLong()
        var usedTokens = 0L
        private val clients = List(7) { random.nextInt(ROUTERS) }

        fun router(): Int = clients.random(random)
    }
}
