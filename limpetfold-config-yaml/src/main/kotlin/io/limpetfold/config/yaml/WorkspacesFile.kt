package io.limpetfold.config.yaml

import io.limpetfold.config.AllowedRange
import io.limpetfold.config.ImmutableListSerializer
import io.limpetfold.config.WorkspaceConfig
import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.Serializable

/** The file that lists the workspaces of a fleet and limits its number of routers; a fleet has exactly one. */
@Serializable
data class WorkspacesFile(
    @AllowedRange("1", "1000")
    val maxRouters: Int,
    @Serializable(with = ImmutableListSerializer::class)
    val workspaces: ImmutableList<WorkspaceConfig>,
)
