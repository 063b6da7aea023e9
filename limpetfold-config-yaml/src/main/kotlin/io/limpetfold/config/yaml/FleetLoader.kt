package io.limpetfold.config.yaml

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.config.ConfigProblem
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.json.JsonObject

/** Combines the service files and the workspaces file of a fleet into a configuration. */
class FleetLoader {
    private val serviceLoader = SettingsLoader(ServiceFile.serializer())
    private val workspacesLoader = SettingsLoader(WorkspacesFile.serializer())

    /** Returns the unpublished configuration, or the problems of all files in the order of files and lines. */
    fun load(files: List<SourceFile>): Result<FleetConfig, ImmutableList<FileProblem>> {
        val builder = FleetBuilder()
        files.forEach { addFile(it, builder) }
        val problems = builder.allProblems()
        if (problems.isNotEmpty()) {
            val order = files.withIndex().associate { (index, file) -> file.name to index }
            return Err(problems.sortedWith(compareBy({ order[it.file] ?: -1 }, { it.line })).toImmutableList())
        }
        return Ok(builder.config())
    }

    private fun addFile(
        file: SourceFile,
        builder: FleetBuilder,
    ) = YamlTree.parse(file).fold(
        success = { tree ->
            val keys = (tree.value as? JsonObject)?.keys.orEmpty()
            when {
                "service" in keys || "versions" in keys -> builder.addService(serviceLoader.draft(tree))
                "workspaces" in keys || "maxRouters" in keys ->
                    builder.addWorkspaces(
                        file.name,
                        workspacesLoader.draft(tree),
                    )
                else -> builder.problems += unknownFileKind(file)
            }
        },
        failure = { builder.problems += it },
    )

    private fun unknownFileKind(file: SourceFile) =
        FileProblem(
            file.name,
            1,
            "",
            "is neither a service file nor the workspaces file",
            "set 'service' at the top level, or 'maxRouters' and 'workspaces'",
        )

    /** Collects the services, routes and workspaces of all files, each with the file and field that it came from. */
    private class FleetBuilder {
        val problems = mutableListOf<FileProblem>()
        private val services = mutableListOf<LocatedPart<ServiceConfig>>()
        private val routes = mutableListOf<LocatedPart<RouteConfig>>()
        private var workspaces: Pair<String, SettingsLoader.Draft<WorkspacesFile>>? = null

        private class LocatedPart<T>(
            val value: T,
            val tree: YamlTree,
            val prefix: String,
        )

        fun addService(draft: SettingsLoader.Draft<ServiceFile>) {
            problems += draft.problems
            val file = draft.value ?: return
            services += LocatedPart(file.toService(), draft.tree, "")
            file.toRoutes().forEachIndexed {
                index,
                route,
                ->
                routes += LocatedPart(route, draft.tree, "routes[$index]")
            }
        }

        fun addWorkspaces(
            name: String,
            draft: SettingsLoader.Draft<WorkspacesFile>,
        ) {
            problems += draft.problems
            val first = workspaces
            if (first == null) {
                workspaces = name to draft
            } else {
                val remedy = "keep the workspaces of a fleet in one file"
                problems += FileProblem(name, 1, "workspaces", "repeats the workspaces file ${first.first}", remedy)
            }
        }

        fun config(): FleetConfig {
            val file = workspaces?.second?.value
            return FleetConfig(
                maxRouters = file?.maxRouters ?: 1,
                services = services.map { it.value }.toImmutableList(),
                routes = routes.map { it.value }.toImmutableList(),
                workspaces = file?.workspaces.orEmpty().toImmutableList(),
            )
        }

        fun allProblems(): List<FileProblem> {
            if (workspaces == null) {
                val remedy = "add one file with maxRouters and workspaces"
                problems += FileProblem("(all files)", 0, "workspaces", "is missing", remedy)
            }
            val fieldProblems = problems.toList()
            return fieldProblems +
                config().relationProblems().mapNotNull { locate(it) }.filterNot { relation ->
                    fieldProblems.any { it.file == relation.file && SettingsLoader.covers(it.field, relation.field) }
                }
        }

        private fun locate(problem: ConfigProblem): FileProblem? {
            val located = locatePath(problem, problem.path) ?: return null
            val related = problem.relatedPath?.let { locatePath(problem, it) } ?: return located
            return located.copy(message = "${located.message} of ${related.file}:${related.line}")
        }

        private fun locatePath(
            problem: ConfigProblem,
            path: String,
        ): FileProblem? {
            val (list, index, rest) = LIST_ITEM_PATH.matchEntire(path)?.destructured ?: return null
            val part =
                when (list) {
                    "services" -> services[index.toInt()]
                    "routes" -> routes[index.toInt()]
                    else -> return workspaces?.second?.tree?.locate(problem.copy(path = path))
                }
            val field = (part.prefix + rest).removePrefix(".")
            return part.tree.locate(
                problem.copy(
                    path =
                        if (list == "services" &&
                            field == "name"
                        ) {
                            "service"
                        } else {
                            field
                        },
                ),
            )
        }

        private companion object {
            val LIST_ITEM_PATH = Regex("(services|routes|workspaces)\\[(\\d+)](.*)")
        }
    }
}
