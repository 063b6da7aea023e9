package io.limpetfold.measure.budgets

import com.github.michaelbull.result.get
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.budget.Reservation
import io.limpetfold.budget.TopUpId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.runBlocking
import java.time.Duration
import kotlin.random.Random

/** The budget ledger and budget agents of the router, run over fakes whose calls take no time. */
internal class EscrowBudgets(
    private val environment: BudgetEnvironment,
    private val policy: BudgetPolicy,
    private val seed: Long,
) : BudgetStrategy {
    private val store = FakeObjectStore()
    private val ledgers = BudgetLedgerStore(store)
    private val hub =
        FakePeerHub {
            from,
            to,
            ->
            if (environment.reachesPeer(number(from), number(to))) PeerFault.NONE else PeerFault.REQUEST_LOST
        }
    private val nodes = MutableList(environment.routers) { Node(it, 1) }
    private val spentByKilled = mutableMapOf<Incarnation, List<Long>>()
    private var topUps = 0
    private var operatorWrites = 0

    /** Excludes the writes of operators (top-ups). */
    override val platformWrites: Int get() = store.writeCount - operatorWrites

    override var grantWrites = 0
        private set

    override fun topUp(
        workspace: Int,
        tokens: Long,
    ) {
        operatorWrites++
        runBlocking { checkNotNull(ledgers.topUp(id(workspace), TopUpId("2026-01-01/t${topUps++}"), tokens).get()) }
    }

    override fun reserve(
        router: Int,
        workspace: Int,
        tokens: Long,
    ): Any? = runBlocking { nodes[router].agent.reserve(id(workspace), REQUEST, tokens, Duration.ZERO).get() }

    override fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    ) {
        nodes[router].agent.settle(handle as Reservation, usedTokens)
    }

    override fun maintain(router: Int) = runBlocking { nodes[router].agent.maintain() }

    override fun kill(
        router: Int,
        spentTokens: List<Long>,
    ) {
        spentByKilled[nodes[router].self] = spentTokens
        hub.disconnect(nodes[router].self.instance)
    }

    override fun restart(router: Int) {
        val previous = nodes[router].self
        nodes[router] = Node(router, previous.number + 1)
        val spentTokens = spentByKilled.getValue(previous)
        runBlocking {
            repeat(
                environment.workspaces,
            ) { workspace -> ledgers.reclaim(id(workspace), previous, spentTokens[workspace]) }
        }
    }

    override fun strandedTokens(): Long =
        runBlocking {
            val running = nodes.map { it.self }.filter { it !in spentByKilled }.toImmutableSet()
            ledgers.stranded(running).get().orEmpty().sumOf { grant ->
                val spent = if (grant.isReclaimed) 0 else spentByKilled[grant.holder]?.get(number(grant.workspace)) ?: 0
                maxOf(0, grant.grantedTokens - spent)
            }
        }

    private inner class Node(
        index: Int,
        number: Long,
    ) {
        val self = Incarnation(InstanceId("r$index"), number)
        private val faultyStore =
            store.withFaults {
                if (environment.reachesPlatform(index)) StoreFault.NONE else StoreFault.UNAVAILABLE
            }
        val agent =
            BudgetAgent(
                self,
                faultyStore,
                hub.join(self),
                { policy },
                environment.clock.monotonic,
                Random(seed * environment.routers + index),
                listener = { event ->
                    if (event is BudgetEvent.Synchronised &&
                        event.acquiredTokens > 0
                    ) {
                        grantWrites++
                    }
                },
            )
    }

    private fun id(workspace: Int) = WorkspaceId("w$workspace")

    private fun number(workspace: WorkspaceId): Int = workspace.value.drop(1).toInt()

    private fun number(instance: InstanceId): Int = instance.value.drop(1).toInt()

    private companion object {
        val REQUEST = RequestId("q")
    }
}
