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
import kotlinx.coroutines.runBlocking
import java.time.Duration

/** Builds budget ledgers and budget agents with many workspaces or holders. */
internal object LedgerFixtures {
    private const val PAID_TOKENS = 1_000_000_000L
    private const val RESERVED_TOKENS = 900L
    private const val USED_TOKENS = 500L

    /** A store with a ledger for each of [count] workspaces; [holders] other routers have an entry in each ledger. */
    fun ledgers(
        count: Int,
        holders: Int,
    ): FakeObjectStore =
        FakeObjectStore().also { store ->
            runBlocking {
                repeat(count) {
                    BudgetLedgerStore(
                        store,
                    ).topUp(RouterFixtures.workspace(it), TopUpId("2026-01-01/invoice-$it"), PAID_TOKENS)
                }
                repeat(holders) { spend(agent(store, it + 1), count) }
            }
        }

    fun agent(
        store: FakeObjectStore,
        index: Int = 0,
        clock: TestClock = TestClock(),
    ) = BudgetAgent(
        RouterFixtures.router(index),
        store,
        CborPeerHub().join(RouterFixtures.router(index)),
        timeSource = clock.monotonic,
    )

    /** Leaves one settled and one open reservation in each of [count] workspaces. */
    suspend fun spend(
        agent: BudgetAgent,
        count: Int,
    ) = repeat(count) {
        val settled =
            agent
                .reserve(
                    RouterFixtures.workspace(it),
                    RequestId("q$it"),
                    RESERVED_TOKENS,
                    Duration.ZERO,
                ).get()
        agent.settle(checkNotNull(settled), USED_TOKENS)
        checkNotNull(
            agent.reserve(RouterFixtures.workspace(it), RequestId("r$it"), RESERVED_TOKENS, Duration.ZERO).get(),
        )
    }

    /** Reserves one token in the first workspace. */
    suspend fun reserve(agent: BudgetAgent): Reservation =
        checkNotNull(agent.reserve(RouterFixtures.workspace(0), RequestId("q"), 1, Duration.ZERO).get())

    fun ledgerBytes(
        store: FakeObjectStore,
        index: Int,
    ): Int =
        runBlocking {
            checkNotNull(store.get(BudgetLedgerStore.keyOf(RouterFixtures.workspace(index))).get()).value.length
        }

    fun holderCount(
        store: FakeObjectStore,
        index: Int,
    ): Int =
        runBlocking {
            val stored = checkNotNull(store.get(BudgetLedgerStore.keyOf(RouterFixtures.workspace(index))).get())
            TypedObject.JSON
                .decodeFromString(BudgetLedger.serializer(), stored.value)
                .holders.size
        }
}
