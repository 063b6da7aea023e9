package io.limpetfold.routing

import io.limpetfold.core.Sha256Hex
import kotlinx.collections.immutable.ImmutableList

/**
 * One version of the forwarding configuration.
 *
 * @property version a newer configuration has a higher version; numbers may be skipped.
 * @property callerLimits what callers may send and how long they may take.
 */
class RoutingTable(
    val version: Long,
    val routes: ImmutableList<ForwardingRoute>,
    val services: ImmutableList<ForwardingService>,
    val keyRequirement: KeyRequirement,
    val callerLimits: CallerLimits = CallerLimits.NONE,
) {
    /** The configured workspaces. */
    val workspaces: ImmutableList<WorkspaceAccess> get() = keyRequirement.workspaces

    private val routesByHost =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) ->
            list.sortedByDescending { it.pathPrefix.length }
        }
    private val servicesByName = services.associateBy { it.name }
    private val workspacesByKeyHash =
        workspaces.flatMap { workspace -> workspace.keyHashes.map { it to workspace } }.toMap()
    private val workspacesById = workspaces.associateBy { it.workspace.value }

    /** Whether calls to [route] need the key of a workspace. */
    fun isKeyRequired(route: ForwardingRoute): Boolean =
        when (keyRequirement) {
            KeyRequirement.None -> false
            is KeyRequirement.KeyOf -> !route.isPublic
        }

    /**
     * Returns the route of [host] with the longest prefix that matches [path], or null; the port of [host] is ignored.
     */
    fun routeFor(
        host: String,
        path: String,
    ): ForwardingRoute? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the service [name], or null when the configuration has none. */
    fun service(name: String): ForwardingService? = servicesByName[name]

    /** Whether an endpoint of the service [name] can ever have room for a prompt of [inputTokens]. */
    fun canHold(
        name: String,
        inputTokens: Int,
    ): Boolean = service(name)?.engine?.canHold(inputTokens) ?: true

    /** Returns the workspace that [key] belongs to, or null when the key is unknown. */
    fun workspaceByKey(key: String): WorkspaceAccess? = workspacesByKeyHash[Sha256Hex.of(key)]

    /** Returns the workspace with the id [workspace], or null when the configuration has none. */
    fun workspace(workspace: String): WorkspaceAccess? = workspacesById[workspace]
}
