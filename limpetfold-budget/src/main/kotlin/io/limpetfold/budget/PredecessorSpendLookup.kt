package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId

/**
 * Finds the spend of an earlier incarnation of this instance.
 *
 * Called by maintenance when the ledger has an open entry of such an incarnation.
 */
fun interface PredecessorSpendLookup {
    /**
     * The cumulative spend of [holder], [WHOLE_GRANT] when no copy of it exists, or null when it is not known yet.
     *
     * Too small a value frees tokens that were used. Return null while any peer that may have a larger copy is
     * unreachable.
     */
    suspend fun find(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long?

    companion object {
        /** Counts all tokens of the holder as spent, including those of transfers that are recorded later. */
        const val WHOLE_GRANT: Long = Long.MAX_VALUE

        /** Never finds a spend, so that operators reclaim the entries of earlier incarnations. */
        val NONE: PredecessorSpendLookup = PredecessorSpendLookup { _, _ -> null }
    }
}
