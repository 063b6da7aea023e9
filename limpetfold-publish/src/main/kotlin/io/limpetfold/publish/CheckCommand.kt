package io.limpetfold.publish

import com.github.ajalt.clikt.core.Context

/** Checks files without the platform. */
internal class CheckCommand : FileCommand("check") {
    override fun help(context: Context): String = "Checks service files and reports every fault at once."

    override suspend fun run() {
        val config = load()
        echo(
            "no fault: ${config.services.size} services, ${config.routes.size} routes, " +
                "${config.workspaces.size} workspaces, ${config.maxRouters} routers at most",
        )
    }
}
