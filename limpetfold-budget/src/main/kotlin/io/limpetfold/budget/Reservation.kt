package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * Tokens set aside for one run of a request; settle it exactly once, also when the request fails.
 *
 * @property holder the ledger entry that the tokens are counted in.
 * @property number identifies the reservation within its holder and workspace.
 */
data class Reservation(
    val workspace: WorkspaceId,
    val request: RequestId,
    val holder: Incarnation,
    val number: Long,
    val tokens: Long,
)
