package io.limpetfold.budget

import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * Tokens set aside for one run of a request; settle it exactly once, also when the request fails.
 *
 * @property number identifies the reservation within its router and workspace.
 */
data class Reservation(
    val workspace: WorkspaceId,
    val request: RequestId,
    val number: Long,
    val tokens: Long,
)
