package io.limpetfold.measure.slopes

import com.github.michaelbull.result.get
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.Reservation
import io.limpetfold.budget.TopUpId
import io.limpetfold.core.RequestId
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlinx.coroutines.runBlocking

/** Builds ledgers and agents with many workspaces or holders. */
internal object LedgerItems {
    private const val PAID_TOKENS = 1_000_000_000L
    private const val RESERVED_TOKENS = 900L
    private const val USED_TOKENS = 500L

    /** A store with a ledger for each of [count] workspaces, in which [holders] other routers have entries. */
    fun ledgers(
        count: Int,
        holders: Int,
    ): FakeObjectStore =
        FakeObjectStore().also { store ->
            runBlocking {
                repeat(count) { BudgetLedgerStore(store).topUp(SlopeItems.workspace(it), TopUpId("2026-01-01/invoice-$it"), PAID_TOKENS) }
                repeat(holders) { spend(agent(store, it + 1), count) }
            }
        }

    fun agent(
        store: FakeObjectStore,
        index: Int = 0,
        clock: TestClock = TestClock(),
    ) = BudgetAgent(SlopeItems.router(index), store, WirePeers().join(SlopeItems.router(index)), timeSource = clock.monotonic)

    /** One settled and one open request in each workspace. */
    suspend fun spend(
        agent: BudgetAgent,
        count: Int,
    ) = repeat(count) {
        val settled = agent.reserve(SlopeItems.workspace(it), RequestId("q$it"), RESERVED_TOKENS, Duration.ZERO).get()
        agent.settle(checkNotNull(settled), USED_TOKENS)
        checkNotNull(agent.reserve(SlopeItems.workspace(it), RequestId("r$it"), RESERVED_TOKENS, Duration.ZERO).get())
    }

    /** Reserves one token in the first workspace. */
    suspend fun reserve(agent: BudgetAgent): Reservation =
        checkNotNull(agent.reserve(SlopeItems.workspace(0), RequestId("q"), 1, Duration.ZERO).get())

    fun ledgerBytes(
        store: FakeObjectStore,
        index: Int,
    ): Int = runBlocking { checkNotNull(store.get(BudgetLedgerStore.keyOf(SlopeItems.workspace(index))).get()).value.length }

    fun holderCount(
        store: FakeObjectStore,
        index: Int,
    ): Int =
        runBlocking {
            val stored = checkNotNull(store.get(BudgetLedgerStore.keyOf(SlopeItems.workspace(index))).get())
            TypedObject.JSON.decodeFromString(BudgetLedger.serializer(), stored.value).holders.size
        }
}
