package io.limpetfold.limits

import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Configuration of the queue of a route.
 *
 * @property maxQueued maximum number of waiting requests, over all workspaces.
 * @property weights weight of each workspace when slots are divided among those that wait; the default is 1.
 */
data class RouteQueueConfig(
    val route: RouteId,
    val maxQueued: Int = 256,
    val weights: ImmutableMap<WorkspaceId, Int> = persistentMapOf(),
)
