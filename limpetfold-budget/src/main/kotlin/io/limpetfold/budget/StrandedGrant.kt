package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId

/**
 * An entry whose holder does not live any more.
 *
 * @property isReclaimed the entry was reclaimed and waits until the other holders have recorded their transfers with it.
 */
data class StrandedGrant(
    val workspace: WorkspaceId,
    val holder: Incarnation,
    val grantedTokens: Long,
    val reportedSpentTokens: Long,
    val isReclaimed: Boolean,
)
