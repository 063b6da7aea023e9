package io.limpetfold.config.yaml

import io.limpetfold.config.AllowedRange
import io.limpetfold.config.ImmutableListSerializer
import io.limpetfold.config.WorkspaceConfig
import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.Serializable

/** The one file of a fleet that lists its workspaces and bounds its routers. */
@Serializable
data class WorkspacesFile(
    @AllowedRange("1", "1000")
    val maxRouters: Int,
    @Serializable(with = ImmutableListSerializer::class)
    val workspaces: ImmutableList<WorkspaceConfig>,
)
