package io.limpetfold.routing

import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableSet

/**
 * Who may call for a workspace, and what it has paid.
 *
 * @property keyHashes SHA-256 of each key in lower-case hexadecimal, see [Sha256Hex].
 * @property priority replaces the priority of routes; null when the workspace has none.
 * @property prepaidTokens the total that the workspace may consume; null when it is not limited.
 */
data class WorkspaceAccess(
    val workspace: WorkspaceId,
    val keyHashes: ImmutableSet<String>,
    val priority: Int?,
    val prepaidTokens: Long?,
)
