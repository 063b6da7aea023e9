package io.limpetfold.measure.slopes

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.Objectives
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.ServiceVersion
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.VersionId
import io.limpetfold.limits.RouteQueueConfig
import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** Builds fleet configurations with many workspaces. */
internal object ConfigFixtures {
    /** Queue limits and workspace weights of each route, derived from [config] as the router does. */
    fun routeLimits(config: FleetConfig): List<RouteQueueConfig> {
        val weights = config.workspaces.associate { it.workspace to it.weight }.toImmutableMap()
        return config.routes.map { RouteQueueConfig(it.route, it.queue.maxRequests, weights) }
    }

    fun configText(workspaces: Int): String =
        TypedObject.JSON.encodeToString(FleetConfig.serializer(), config(workspaces))

    fun config(workspaces: Int) =
        FleetConfig(
            generation = 1,
            maxRouters = 330,
            services = List(3) { service("model-$it") }.toImmutableList(),
            routes = List(3) { route("model-$it") }.toImmutableList(),
            workspaces =
                List(workspaces) {
                    WorkspaceConfig(RouterFixtures.workspace(it), persistentListOf(Sha256Hex.of("key-$it")), weight = 3)
                }.toImmutableList(),
        )

    private fun service(name: String) =
        ServiceConfig(
            name,
            ServiceKind.MODEL,
            true,
            persistentListOf(ServiceVersion(VersionId("v1"), 8), ServiceVersion(VersionId("v2"), 8)),
        )

    private fun route(name: String) =
        RouteConfig(RouteId(name), "/$name", name, VersionId("v1"), objectives = Objectives())
}
