package io.limpetfold.budget

import com.github.michaelbull.result.get
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import kotlinx.coroutines.runBlocking
import kotlin.random.Random

/** Copies of a store and the restores from them, with what was really paid and what no copy tells. */
internal class RestoredLedgers(
    private val store: FakeObjectStore,
) {
    private val copies = mutableListOf<FakeObjectStore.Copy>()
    private val writesAtCopy = mutableListOf<Int>()
    private val paid = mutableMapOf<WorkspaceId, MutableMap<String, Long>>()
    private val acquired = mutableMapOf<WorkspaceId, MutableMap<String, Long>>()
    private val versionsRead = mutableMapOf<WorkspaceId, Int>()

    /** The number of restores so far. */
    var count = 0
        private set

    fun keepCopy() {
        copies += store.copy()
        writesAtCopy += store.writeCount
    }

    fun randomCopy(random: Random): Copy? =
        copies.indices
            .toList()
            .takeLast(
                if (random.nextBoolean()) RECENT_COPIES else copies.size,
            ).randomOrNull(random)
            ?.let {
                Copy(copies[it], store.writeCount - writesAtCopy[it])
            }

    fun restore(copy: Copy) {
        store.restore(copy.copy)
        count++
    }

    /** Executes the oldest delayed write; returns whether it took effect. */
    fun executeDelayed(): Boolean {
        val before = store.writeCount
        store.executeDelayed()
        return store.writeCount > before
    }

    /** The holders of [workspace] that were open once and of which the stored ledger has neither an entry nor a close. */
    fun missingHolders(workspace: WorkspaceId): Set<String> {
        val ledger = current(workspace)?.value ?: BudgetLedger()
        return acquired.getOrPut(workspace) { mutableMapOf() }.keys - ledger.holders.keys - ledger.closedHolders.keys
    }

    /** The most tokens that the platform ever granted to [holder]. */
    fun acquiredTokens(
        workspace: WorkspaceId,
        holder: String,
    ): Long = acquired.getValue(workspace).getValue(holder)

    /** The tokens of all top-ups that the store ever acknowledged, whether or not a restore lost them. */
    fun paidTokens(workspace: WorkspaceId): Long {
        val history = store.history(BudgetLedgerStore.keyOf(workspace))
        val topUps = paid.getOrPut(workspace) { mutableMapOf() }
        history.drop(versionsRead[workspace] ?: 0).map(::decode).forEach { ledger ->
            topUps += ledger.topUps
            ledger.holders.forEach { (key, entry) ->
                acquired.getOrPut(workspace) { mutableMapOf() }.merge(key, entry.acquiredTokens, ::maxOf)
            }
        }
        versionsRead[workspace] = history.size
        return topUps.values.sum()
    }

    fun current(workspace: WorkspaceId): Stored? =
        runBlocking {
            store.get(
                BudgetLedgerStore.keyOf(workspace),
            )
        }.get()?.let { Stored(decode(it.value), it.version) }

    private fun decode(value: String) = TypedObject.JSON.decodeFromString(BudgetLedger.serializer(), value)

    private companion object {
        const val RECENT_COPIES = 4
    }

    /** @property age the number of writes since the copy. */
    class Copy(
        val copy: FakeObjectStore.Copy,
        val age: Int,
    )

    class Stored(
        val value: BudgetLedger,
        val version: ObjectVersion,
    )
}
