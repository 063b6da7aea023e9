package io.limpetfold.limits

import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The queue of a route.
 *
 * @property maxQueued waiting requests over all workspaces.
 * @property weights share of a workspace among those that wait; a workspace that is not named has weight 1.
 */
data class RouteQueueConfig(
    val route: RouteId,
    val maxQueued: Int = 256,
    val weights: ImmutableMap<WorkspaceId, Int> = persistentMapOf(),
)
