package io.limpetfold.config

import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Validates a [FleetConfig]: first ranges and patterns, then duplicate names and references. */
internal object FleetConfigCheck {
    fun problems(config: FleetConfig): ImmutableList<ConfigProblem> {
        val tree = TypedObject.JSON.encodeToJsonElement(FleetConfig.serializer(), config)
        val structure = StructureCheck.check(FleetConfig.serializer().descriptor, tree).problems
        return (structure + relationProblems(config)).toImmutableList()
    }

    fun relationProblems(config: FleetConfig): List<ConfigProblem> =
        buildList {
            addAll(duplicateProblems(config.services.map { it.name }, "services", "name", "service"))
            addAll(duplicateProblems(config.routes.map { it.route.value }, "routes", "route", "route"))
            addAll(duplicateProblems(config.routes.map { it.pathPrefix }, "routes", "pathPrefix", "path prefix"))
            addAll(
                duplicateProblems(config.workspaces.map { it.workspace.value }, "workspaces", "workspace", "workspace"),
            )
            config.services.forEachIndexed { index, service -> addAll(versionProblems(service, "services[$index]")) }
            config.routes.forEachIndexed { index, route -> addAll(routeProblems(config, route, "routes[$index]")) }
            addAll(keyProblems(config))
        }

    private fun versionProblems(
        service: ServiceConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            if (service.versions.isEmpty()) {
                add(ConfigProblem("$path.versions", "is empty", "list at least one version of the service"))
            }
            addAll(duplicateProblems(service.versions.map { it.version.value }, "$path.versions", "version", "version"))
        }

    private fun routeProblems(
        config: FleetConfig,
        route: RouteConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            val service = config.service(route.service)
            if (service == null) {
                add(
                    ConfigProblem(
                        "$path.service",
                        "refers to an unknown service ('${route.service}')",
                        "add the file of this service",
                    ),
                )
            } else {
                if (service.versions.none { it.version == route.activeVersion }) {
                    val known = service.versions.joinToString(", ") { it.version.value }
                    add(
                        ConfigProblem(
                            "$path.activeVersion",
                            "refers to an unknown version of ${service.name} ('${route.activeVersion}')",
                            "use one of the service's versions: $known",
                        ),
                    )
                }
                addAll(objectiveProblems(route.objectives, service.kind, "$path.objectives"))
            }
            if (route.queue.maxWait > route.requestTimeout) {
                add(ConfigProblem("$path.queue.maxWait", "exceeds requestTimeout", "lower it or raise requestTimeout"))
            }
            if (route.connectTimeout > route.requestTimeout) {
                add(ConfigProblem("$path.connectTimeout", "exceeds requestTimeout", "lower it or raise requestTimeout"))
            }
            addAll(callProblems(route, path))
        }

    private fun callProblems(
        route: RouteConfig,
        path: String,
    ): List<ConfigProblem> =
        buildList {
            addAll(duplicateProblems(route.calls.map { "${it.method} ${it.path}" }, "$path.calls", "path", "call"))
            route.calls.forEachIndexed { index, call ->
                if (call.isRepeatable && call.isIdempotencyKeyRequired) {
                    add(
                        ConfigProblem(
                            "$path.calls[$index].isKeyRequired",
                            "is set for a repeatable call",
                            "a repeatable call needs no idempotency key: remove isKeyRequired or set isRepeatable to false",
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

    private fun objectiveProblems(
        objectives: Objectives,
        kind: ServiceKind,
        path: String,
    ): List<ConfigProblem> =
        when (kind) {
            ServiceKind.MODEL -> listOf("latency" to objectives.latency)
            ServiceKind.PLAIN ->
                listOf(
                    "firstToken" to objectives.firstToken,
                    "betweenTokens" to objectives.betweenTokens,
                )
        }.filter { (_, value) -> value != null }.map { (name, _) ->
            val remedy = if (kind == ServiceKind.MODEL) "use firstToken and betweenTokens" else "use latency"
            ConfigProblem("$path.$name", "does not apply to a ${kind.name.lowercase()} service", remedy)
        }

    private fun keyProblems(config: FleetConfig): List<ConfigProblem> =
        buildList {
            val seen = mutableMapOf<String, String>()
            config.workspaces.forEachIndexed { index, workspace ->
                if (workspace.keyHashes.isEmpty()) {
                    add(ConfigProblem("workspaces[$index].keyHashes", "is empty", "list the hash of at least one key"))
                }
                workspace.keyHashes.forEachIndexed { position, hash ->
                    val owner = seen.putIfAbsent(hash, workspace.workspace.value) ?: return@forEachIndexed
                    val path = "workspaces[$index].keyHashes[$position]"
                    add(
                        ConfigProblem(
                            path,
                            "is already used by workspace $owner",
                            "use each key in one workspace only",
                        ),
                    )
                }
            }
        }

    private fun duplicateProblems(
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
                "give each $kind a unique name",
                relatedPath = "$path[$first].$field",
            )
        }
    }
}
