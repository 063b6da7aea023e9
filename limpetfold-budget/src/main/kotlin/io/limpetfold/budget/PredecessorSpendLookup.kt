package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId

/**
 * Finds what an earlier incarnation of this instance has spent.
 *
 * Called from maintenance, when the ledger shows an open entry of such an incarnation.
 */
fun interface PredecessorSpendLookup {
    /**
     * The cumulative spend of [holder], [WHOLE_GRANT] when no copy of it is left, or null when it is not known now. Too small
     * a value frees tokens that were used, so null is the answer while any place that may hold a larger copy can't be asked.
     */
    suspend fun find(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long?

    companion object {
        /** Counts everything as spent that the holder was granted, also by transfers recorded later. */
        const val WHOLE_GRANT: Long = Long.MAX_VALUE

        /** Leaves the entries of earlier incarnations to operators. */
        val NONE: PredecessorSpendLookup = PredecessorSpendLookup { _, _ -> null }
    }
}
