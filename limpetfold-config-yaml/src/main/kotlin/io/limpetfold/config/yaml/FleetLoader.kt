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

/** Joins the service files and the workspaces file of a fleet and reports the faults of all files at once. */
class FleetLoader {
    private val serviceLoader = SettingsLoader(ServiceFile.serializer())
    private val workspacesLoader = SettingsLoader(WorkspacesFile.serializer())

    /** Returns the configuration, not published yet, or every fault in the order of files and lines. */
    fun load(files: List<SourceFile>): Result<FleetConfig, ImmutableList<FileProblem>> {
        val join = Join()
        files.forEach { read(it, join) }
        val problems = join.finish()
        if (problems.isNotEmpty()) {
            val order = files.withIndex().associate { (index, file) -> file.name to index }
            return Err(problems.sortedWith(compareBy({ order[it.file] ?: -1 }, { it.line })).toImmutableList())
        }
        return Ok(join.config())
    }

    private fun read(
        file: SourceFile,
        join: Join,
    ) = YamlTree.parse(file).fold(
        success = { tree ->
            val keys = (tree.value as? JsonObject)?.keys.orEmpty()
            when {
                "service" in keys || "versions" in keys -> join.add(serviceLoader.draft(tree))
                "workspaces" in keys || "maxRouters" in keys -> join.addWorkspaces(file.name, workspacesLoader.draft(tree))
                else -> join.problems += unknownKind(file)
            }
        },
        failure = { join.problems += it },
    )

    private fun unknownKind(file: SourceFile) =
        FileProblem(
            file.name,
            1,
            "",
            "is neither a service file nor the workspaces file",
            "set 'service' at the top level, or 'maxRouters' and 'workspaces'",
        )

    /** The parts of all files; each part knows the file and field that it came from. */
    private class Join {
        val problems = mutableListOf<FileProblem>()
        private val services = mutableListOf<Part<ServiceConfig>>()
        private val routes = mutableListOf<Part<RouteConfig>>()
        private var workspaces: Pair<String, SettingsLoader.Draft<WorkspacesFile>>? = null

        private class Part<T>(
            val value: T,
            val tree: YamlTree,
            val prefix: String,
        )

        fun add(draft: SettingsLoader.Draft<ServiceFile>) {
            problems += draft.problems
            val file = draft.value ?: return
            services += Part(file.toService(), draft.tree, "")
            file.toRoutes().forEachIndexed { index, route -> routes += Part(route, draft.tree, "routes[$index]") }
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

        fun finish(): List<FileProblem> {
            if (workspaces == null) {
                val remedy = "add one file with maxRouters and workspaces"
                problems += FileProblem("(all files)", 0, "workspaces", "is missing", remedy)
            }
            val found = problems.toList()
            return found +
                config().relationProblems().mapNotNull { locate(it) }.filterNot { relation ->
                    found.any { it.file == relation.file && SettingsLoader.covers(it.field, relation.field) }
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
            val (list, index, rest) = PART.matchEntire(path)?.destructured ?: return null
            val part =
                when (list) {
                    "services" -> services[index.toInt()]
                    "routes" -> routes[index.toInt()]
                    else -> return workspaces?.second?.tree?.locate(problem.copy(path = path))
                }
            val field = (part.prefix + rest).removePrefix(".")
            return part.tree.locate(problem.copy(path = if (list == "services" && field == "name") "service" else field))
        }

        private companion object {
            val PART = Regex("(services|routes|workspaces)\\[(\\d+)](.*)")
        }
    }
}
