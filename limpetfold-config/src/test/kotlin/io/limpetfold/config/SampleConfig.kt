package io.limpetfold.config

import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.persistentListOf

/** A small valid configuration; different values of [maxRouters] give different contents. */
internal fun sampleConfig(maxRouters: Int = 8): FleetConfig =
    FleetConfig(
        maxRouters = maxRouters,
        services =
            persistentListOf(
                ServiceConfig(
                    name = "jezik",
                    kind = ServiceKind.MODEL,
                    versions = persistentListOf(ServiceVersion(VersionId("1"), maxInFlightPerEndpoint = 16)),
                ),
            ),
        routes =
            persistentListOf(
                RouteConfig(
                    RouteId("chat"),
                    pathPrefix = "/v1/chat",
                    service = "jezik",
                    activeVersion = VersionId("1"),
                ),
            ),
        workspaces =
            persistentListOf(WorkspaceConfig(WorkspaceId("dom"), persistentListOf(Sha256Hex.of("demo-key-dom")))),
    )
