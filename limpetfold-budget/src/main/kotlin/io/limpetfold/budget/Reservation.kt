package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * Tokens reserved for one run of a request. It must be settled exactly once, also when the request fails.
 *
 * @property holder the holder whose ledger entry contains the tokens.
 * @property number identifies the reservation within its holder and workspace.
 */
data class Reservation(
    val workspace: WorkspaceId,
    val request: RequestId,
    val holder: Incarnation,
    val number: Long,
    val tokens: Long,
)
