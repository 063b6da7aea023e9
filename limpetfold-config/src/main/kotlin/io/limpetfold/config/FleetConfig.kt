package io.limpetfold.config

import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.ObjectKey
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * One generation of the fleet's configuration.
 *
 * @property generation 0 before publication; each publication increases it by one.
 * @property publication null before publication.
 * @property maxRouters number of seats; the base share of an endpoint's capacity is divided by it.
 */
@Serializable
data class FleetConfig(
    val generation: Long = 0,
    val publication: Publication? = null,
    @AllowedRange("1", "1000")
    val maxRouters: Int,
    @Serializable(with = ImmutableListSerializer::class)
    val services: ImmutableList<ServiceConfig> = persistentListOf(),
    @Serializable(with = ImmutableListSerializer::class)
    val routes: ImmutableList<RouteConfig> = persistentListOf(),
    @Serializable(with = ImmutableListSerializer::class)
    val workspaces: ImmutableList<WorkspaceConfig> = persistentListOf(),
) {
    private val routesByPrefixLength by lazy { routes.sortedByDescending { it.pathPrefix.length } }
    private val servicesByName by lazy { services.associateBy { it.name } }
    private val routesById by lazy { routes.associateBy { it.route } }
    private val workspacesById by lazy { workspaces.associateBy { it.workspace } }
    private val keysByHashPrefix by lazy {
        workspaces
            .flatMap { workspace -> workspace.keyHashes.map { it to workspace } }
            .groupBy { (hash, _) -> hash.take(KEY_INDEX_PREFIX_CHARS) }
    }

    /** Returns the route whose prefix is the longest match of [path]; [path] must not contain a query. */
    fun routeFor(path: String): RouteConfig? = routesByPrefixLength.firstOrNull { it.matches(path) }

    fun route(id: RouteId): RouteConfig? = routesById[id]

    fun service(name: String): ServiceConfig? = servicesByName[name]

    fun workspace(id: WorkspaceId): WorkspaceConfig? = workspacesById[id]

    /**
     * Returns the workspace that [key] belongs to.
     *
     * Candidates are looked up by the first characters of the key's hash, which reveal nothing about a key. The whole
     * hash is compared in constant time.
     */
    fun workspaceByKey(key: String): WorkspaceConfig? {
        val hash = Sha256Hex.of(key)
        return keysByHashPrefix[hash.take(KEY_INDEX_PREFIX_CHARS)]
            ?.firstOrNull { (candidate, _) -> Sha256Hex.isEqual(candidate, hash) }
            ?.second
    }

    /** Returns all validation errors; empty for a valid configuration. */
    fun problems(): ImmutableList<ConfigProblem> = FleetConfigCheck.problems(this)

    /**
     * Returns only the errors between fields (duplicates, references); assumes that ranges and patterns are checked.
     */
    fun relationProblems(): ImmutableList<ConfigProblem> = FleetConfigCheck.relationProblems(this).toImmutableList()

    /**
     * The SHA-256 of everything but [generation] and [publication], independent of the order of services, routes and
     * workspaces.
     *
     * Fields at their default are left out, so that programs of different versions compute the same hash as long as no
     * field is set that only the newer one knows.
     */
    fun contentHash(): String =
        Sha256Hex.of(HASH_JSON.encodeToString(serializer(), sorted().copy(generation = 0, publication = null)))

    internal fun sorted(): FleetConfig =
        copy(
            services = services.sortedBy { it.name }.toImmutableList(),
            routes = routes.sortedBy { it.route.value }.toImmutableList(),
            workspaces = workspaces.sortedBy { it.workspace.value }.toImmutableList(),
        )

    companion object {
        /** The object that holds the newest generation. */
        val KEY = ObjectKey("config/current")

        private val HASH_JSON = Json { encodeDefaults = false }
        private const val KEY_INDEX_PREFIX_CHARS = 16
    }
}
