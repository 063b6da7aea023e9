package io.limpetfold.routing

import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableSet

/**
 * The keys, priority and prepaid budget of a workspace.
 *
 * @property keyHashes SHA-256 of each key in lower-case hexadecimal; see [Sha256Hex].
 * @property priority overrides the priority of routes; null when the workspace has no priority of its own.
 * @property prepaidTokens total number of tokens that the workspace may consume; null when it is not limited.
 */
data class WorkspaceAccess(
    val workspace: WorkspaceId,
    val keyHashes: ImmutableSet<String>,
    val priority: Int?,
    val prepaidTokens: Long?,
)
