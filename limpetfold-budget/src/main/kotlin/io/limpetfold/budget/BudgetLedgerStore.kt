package io.limpetfold.budget

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerializationException

/** The budget ledgers of all workspaces, for operators and for a router that starts; safe for concurrent use. */
class BudgetLedgerStore(
    private val store: ObjectStore,
) {
    /** Reads a ledger, or null when the workspace has none. */
    suspend fun read(workspace: WorkspaceId): Result<BudgetLedger?, StoreError> = ledger(workspace).read().map { it.value }

    /** Adds [tokens] to the paid total; the same identity again, also after an unknown outcome, changes nothing. */
    suspend fun topUp(
        workspace: WorkspaceId,
        topUpId: TopUpId,
        tokens: Long,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        update(workspace, { topUpId.value in it.topUps }) { (it ?: BudgetLedger()).topUp(topUpId, tokens) }

    /**
     * Ends the entry of [holder]. Call it only when the holder's process is known to have ended.
     *
     * @param copiedSpentTokens the highest cumulative spend that peers hold copies of. Without any copy, pass the granted
     * tokens: the remainder is then written off, because unreported spend may have used it.
     */
    suspend fun reclaim(
        workspace: WorkspaceId,
        holder: Incarnation,
        copiedSpentTokens: Long,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        update(workspace, { it.holders[holder.key]?.isEnded ?: true }) { ledger ->
            ledger?.reclaim(holder, copiedSpentTokens) ?: Err(LedgerRefusal.UnknownWorkspace)
        }

    /** Lists the entries that no process in [liveHolders] can have opened, over all workspaces; see [BudgetAgent] for their numbers. */
    suspend fun stranded(liveHolders: ImmutableSet<Incarnation>): Result<ImmutableList<StrandedGrant>, StoreError> =
        store.list(PREFIX).fold(
            success = { page ->
                try {
                    val live = liveHolders.groupBy({ it.instance }, { it.number })
                    val found =
                        page.objects.flatMap { stored ->
                            val workspace = WorkspaceId(stored.key.path.removePrefix(PREFIX))
                            val ledger = TypedObject.JSON.decodeFromString(BudgetLedger.serializer(), stored.value)
                            ledger.holders.mapNotNull { strandedGrant(workspace, it) }.filter { grant ->
                                live[grant.holder.instance].orEmpty().none { it <= grant.holder.number }
                            }
                        }
                    Ok(found.toImmutableList())
                } catch (e: SerializationException) {
                    Err(StoreError.Rejected("a ledger does not decode: ${e.message}"))
                }
            },
            failure = { Err(it) },
        )

    private fun strandedGrant(
        workspace: WorkspaceId,
        entry: Map.Entry<String, HolderEntry>,
    ): StrandedGrant? =
        Incarnation.parse(entry.key)?.let {
            StrandedGrant(workspace, it, entry.value.grantedTokens, entry.value.reportedSpentTokens, entry.value.isEnded)
        }

    private suspend fun update(
        workspace: WorkspaceId,
        isApplied: (BudgetLedger) -> Boolean,
        change: (BudgetLedger?) -> Result<BudgetLedger, LedgerRefusal>,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        ledger(workspace)
            .update(isApplied) { current ->
                change(current).fold(
                    success = { if (it == current) Change.Keep else Change.Write(it) },
                    failure = { Change.Refuse(it) },
                )
            }.map { checkNotNull(it.value) { "an accepted change leaves a ledger" } }

    private fun ledger(workspace: WorkspaceId) = TypedObject(store, keyOf(workspace), BudgetLedger.serializer())

    companion object {
        private const val PREFIX = "budget/"

        /** The object that holds the ledger of [workspace]. */
        fun keyOf(workspace: WorkspaceId): ObjectKey = ObjectKey(PREFIX + workspace.value)
    }
}
