package io.limpetfold.routing

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** Whether calls to routes that are not public need a key of a workspace. */
sealed interface KeyRequirement {
    /** The workspaces of the configuration. */
    val workspaces: ImmutableList<WorkspaceAccess>

    /** No call needs a key, because the configuration does not mention workspaces. */
    data object None : KeyRequirement {
        override val workspaces: ImmutableList<WorkspaceAccess> = persistentListOf()
    }

    /** Calls need a key of one of [workspaces]; when the list is empty, no key is accepted. */
    data class KeyOf(
        override val workspaces: ImmutableList<WorkspaceAccess>,
    ) : KeyRequirement
}
