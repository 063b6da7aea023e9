package io.limpetfold.publish

import com.github.ajalt.clikt.core.Context

/** Checks service files without a connection to the platform. */
internal class CheckCommand : FileCommand("check") {
    override fun help(context: Context): String = "Checks service files and reports all faults at once."

    override suspend fun run() {
        val config = load()
        echo(
            "no faults: ${config.services.size} services, ${config.routes.size} routes, " +
                "${config.workspaces.size} workspaces, at most ${config.maxRouters} routers",
        )
    }
}
