package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId

/**
 * A ledger entry whose holder's process has ended.
 *
 * @property isReclaimed whether the entry was reclaimed; it is kept until the other holders have recorded their
 * transfers with it.
 */
data class StrandedGrant(
    val workspace: WorkspaceId,
    val holder: Incarnation,
    val grantedTokens: Long,
    val reportedSpentTokens: Long,
    val isReclaimed: Boolean,
)
