package io.limpetfold.router

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.yaml.SettingsLoader
import io.limpetfold.core.runUntilTerminated
import io.limpetfold.router.settings.RouterSettings
import io.limpetfold.router.settings.RouterSettingsCheck
import org.slf4j.LoggerFactory
import java.io.IOException

/** The command line of the router. */
internal class RouterCommand : CliktCommand(name = "limpetfold-router") {
    private val settingsPath by option(
        "--settings",
        help = "YAML file with the settings of this router",
    ).path().required()
    private val isCheckOnly by option("--check", help = "check the settings and exit").flag()

    init {
        versionOption(RouterCommand::class.java.`package`.implementationVersion ?: "development")
    }

    override fun help(context: Context) =
        "Routes requests from callers to endpoints within prepaid budgets. " +
            "Exit codes: 0 shut down gracefully, 1 failed, 2 invalid settings or command line. " +
            "SIGTERM starts a graceful shutdown."

    override fun run() {
        val loader = SettingsLoader(RouterSettings.serializer(), RouterSettingsCheck::problems)
        val settings =
            loader.load(settingsPath).getOrElse { problems ->
                problems.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(INVALID_SETTINGS)
            }
        if (isCheckOnly) {
            echo("$settingsPath: valid")
            return
        }
        serve(settings)
    }

    private fun serve(settings: RouterSettings) {
        val router = Router(settings)
        try {
            runUntilTerminated(router::start, router::stop)
        } catch (e: IOException) {
            LOGGER.error("router: start failed cause=\"{}\"; check that the addresses are free", e.message)
            throw ProgramResult(FAILED)
        }
    }

    private companion object {
        const val FAILED = 1
        const val INVALID_SETTINGS = 2
        val LOGGER = LoggerFactory.getLogger(RouterCommand::class.java)
    }
}
