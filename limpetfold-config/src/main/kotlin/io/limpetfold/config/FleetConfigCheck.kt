package io.limpetfold.config

import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Finds all faults of a [FleetConfig]: ranges and patterns first, then names and references. */
internal object FleetConfigCheck {
    fun problems(config: FleetConfig): ImmutableList<ConfigProblem> {
        val tree = TypedObject.JSON.encodeToJsonElement(FleetConfig.serializer(), config)
        val structure = StructureCheck.check(FleetConfig.serializer().descriptor, tree).problems
        return (structure + relations(config)).toImmutableList()
    }

    fun relations(config: FleetConfig): List<ConfigProblem> =
        buildList {
            addAll(duplicates(config.services.map { it.name }, "services", "name", "service"))
            addAll(duplicates(config.routes.map { it.route.value }, "routes", "route", "route"))
            addAll(duplicates(config.routes.map { it.pathPrefix }, "routes", "pathPrefix", "path prefix"))
            addAll(duplicates(config.workspaces.map { it.workspace.value }, "workspaces", "workspace", "workspace"))
            config.services.forEachIndexed { index, service -> addAll(versions(service, "services[$index]")) }
            config.routes.forEachIndexed { index, route -> addAll(route(config, route, "routes[$index]")) }
            addAll(keys(config))
        }

    private fun versions(
        service: ServiceConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            if (service.versions.isEmpty()) {
                add(ConfigProblem("$path.versions", "is empty", "list at least one version of the service"))
            }
            addAll(duplicates(service.versions.map { it.version.value }, "$path.versions", "version", "version"))
        }

    private fun route(
        config: FleetConfig,
        route: RouteConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            val service = config.service(route.service)
            if (service == null) {
                add(ConfigProblem("$path.service", "names no service ('${route.service}')", "add the file of this service"))
            } else {
                if (service.versions.none { it.version == route.activeVersion }) {
                    val known = service.versions.joinToString(", ") { it.version.value }
                    add(
                        ConfigProblem(
                            "$path.activeVersion",
                            "names no version of ${service.name} ('${route.activeVersion}')",
                            "use one of the service's versions: $known",
                        ),
                    )
                }
                addAll(objectives(route.objectives, service.kind, "$path.objectives"))
            }
            if (route.queue.maxWait > route.requestTimeout) {
                add(ConfigProblem("$path.queue.maxWait", "exceeds requestTimeout", "lower it or raise requestTimeout"))
            }
            if (route.connectTimeout > route.requestTimeout) {
                add(ConfigProblem("$path.connectTimeout", "exceeds requestTimeout", "lower it or raise requestTimeout"))
            }
            addAll(calls(route, path))
        }

    private fun calls(
        route: RouteConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            addAll(duplicates(route.calls.map { "${it.method} ${it.path}" }, "$path.calls", "path", "call"))
            route.calls.forEachIndexed { index, call ->
                if (call.isRepeatable && call.isIdempotencyKeyRequired) {
                    add(
                        ConfigProblem(
                            "$path.calls[$index].isKeyRequired",
                            "is set for a repeatable call",
                            "a key has no use there: remove isKeyRequired or set isRepeatable to false",
                        ),
                    )
                }
                if (!route.matches(call.path)) {
                    add(
                        ConfigProblem(
                            "$path.calls[$index].path",
                            "is not under the route's prefix ${route.pathPrefix}",
                            "write the whole path, prefix included",
                        ),
                    )
                }
            }
        }

    private fun objectives(
        objectives: Objectives,
        kind: ServiceKind,
        path: String,
    ): List<ConfigProblem> =
        when (kind) {
            ServiceKind.MODEL -> listOf("latency" to objectives.latency)
            ServiceKind.PLAIN -> listOf("firstToken" to objectives.firstToken, "betweenTokens" to objectives.betweenTokens)
        }.filter { (_, value) -> value != null }.map { (name, _) ->
            val remedy = if (kind == ServiceKind.MODEL) "use firstToken and betweenTokens" else "use latency"
            ConfigProblem("$path.$name", "does not apply to a ${kind.name.lowercase()} service", remedy)
        }

    private fun keys(config: FleetConfig): List<ConfigProblem> =
        buildList {
            val seen = mutableMapOf<String, String>()
            config.workspaces.forEachIndexed { index, workspace ->
                if (workspace.keyHashes.isEmpty()) {
                    add(ConfigProblem("workspaces[$index].keyHashes", "is empty", "list the hash of at least one key"))
                }
                workspace.keyHashes.forEachIndexed { position, hash ->
                    val owner = seen.putIfAbsent(hash, workspace.workspace.value) ?: return@forEachIndexed
                    val path = "workspaces[$index].keyHashes[$position]"
                    add(ConfigProblem(path, "is used by workspace $owner already", "give each workspace keys of its own"))
                }
            }
        }

    private fun duplicates(
        names: List<String>,
        path: String,
        field: String,
        kind: String,
    ): List<ConfigProblem> {
        val seen = mutableMapOf<String, Int>()
        return names.mapIndexedNotNull { index, name ->
            val first = seen.putIfAbsent(name, index) ?: return@mapIndexedNotNull null
            ConfigProblem(
                "$path[$index].$field",
                "repeats the $kind '$name'",
                "give each $kind a name of its own",
                relatedPath = "$path[$first].$field",
            )
        }
    }
}
