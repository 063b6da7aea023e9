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
import io.limpetfold.store.Versioned
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerializationException

/**
 * Reads and changes the budget ledgers of all workspaces, for operators and for a router that starts; safe for
 * concurrent use.
 */
class BudgetLedgerStore(
    private val store: ObjectStore,
) {
    /** Reads the ledger of [workspace]; null when it has none. */
    suspend fun read(workspace: WorkspaceId): Result<BudgetLedger?, StoreError> =
        ledger(workspace).read().map { it.value }

    /** Adds [tokens] to the paid total; idempotent by [topUpId], so that it can be retried after an unknown outcome. */
    suspend fun topUp(
        workspace: WorkspaceId,
        topUpId: TopUpId,
        tokens: Long,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        update(workspace, { stored -> stored.value?.let { topUpId.value in it.topUps } == true }) {
            val ledger = it ?: BudgetLedger()
            ledger.topUp(topUpId, tokens)
        }

    /**
     * Ends the entry of [holder], whose process must be known to have ended.
     *
     * @param replicatedSpentTokens the highest cumulative spend of [holder] that a peer has a copy of. If there is no
     * copy, pass [PredecessorSpendLookup.WHOLE_GRANT]: the remainder is then written off, because unreported spend may
     * have used it.
     */
    suspend fun reclaim(
        workspace: WorkspaceId,
        holder: Incarnation,
        replicatedSpentTokens: Long,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        update(workspace, { isEnded(it, holder.key) }) { ledger ->
            ledger?.reclaim(holder, replicatedSpentTokens) ?: Err(LedgerRefusal.UnknownWorkspace)
        }

    /**
     * Lists the entries of all workspaces that no process in [liveHolders] can have opened. A process can have opened
     * entries under its own number and higher ones; see [BudgetAgent].
     */
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
                    Err(StoreError.Rejected("a stored ledger cannot be decoded: ${e.message}"))
                }
            },
            failure = { Err(it) },
        )

    private fun strandedGrant(
        workspace: WorkspaceId,
        entry: Map.Entry<String, HolderEntry>,
    ): StrandedGrant? =
        Incarnation.parse(entry.key)?.let {
            StrandedGrant(
                workspace,
                it,
                entry.value.grantedTokens,
                entry.value.reportedSpentTokens,
                entry.value.isEnded,
            )
        }

    private fun isEnded(
        stored: Versioned<BudgetLedger>,
        key: String,
    ): Boolean = stored.value?.let { it.isWrittenInEraOf(stored.version) && it.holders[key]?.isEnded ?: true } == true

    private suspend fun update(
        workspace: WorkspaceId,
        isApplied: (Versioned<BudgetLedger>) -> Boolean,
        change: (BudgetLedger?) -> Result<BudgetLedger, LedgerRefusal>,
    ): Result<BudgetLedger, UpdateError<LedgerRefusal>> =
        ledger(workspace)
            .updateVersioned<LedgerRefusal>({ isApplied(it) }) { stored ->
                change(stored.value?.asReadAt(stored.version)).fold(
                    success = { if (it == stored.value) Change.Keep else Change.Write(it) },
                    failure = { Change.Refuse(it) },
                )
            }.map { checkNotNull(it.value) { "an accepted change leaves a ledger" } }

    private fun ledger(workspace: WorkspaceId) = TypedObject(store, keyOf(workspace), BudgetLedger.serializer())

    companion object {
        private const val PREFIX = "budget/"

        /** The key of the object that stores the ledger of [workspace]. */
        fun keyOf(workspace: WorkspaceId): ObjectKey = ObjectKey(PREFIX + workspace.value)
    }
}
