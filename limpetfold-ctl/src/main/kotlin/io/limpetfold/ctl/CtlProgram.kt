package io.limpetfold.ctl

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.command.parse
import com.github.ajalt.clikt.completion.SuspendingCompletionCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.yaml.SettingsLoader
import io.limpetfold.ctl.budget.ReclaimCommand
import io.limpetfold.ctl.budget.ShowBudgetCommand
import io.limpetfold.ctl.budget.StrandedCommand
import io.limpetfold.ctl.budget.TopUpCommand
import io.limpetfold.ctl.explain.ExplainCommand
import io.limpetfold.ctl.move.MoveStatusCommand
import io.limpetfold.ctl.move.StartMoveCommand
import io.limpetfold.ctl.move.TakeBackCommand
import io.limpetfold.ctl.move.WatchMoveCommand
import io.limpetfold.ctl.report.BurnCommand
import io.limpetfold.ctl.status.StatusCommand
import java.nio.file.Path

/** The command line of `limpetfold-ctl`. */
internal class CtlProgram(
    private val connect: (CtlSettings) -> CtlSession,
) : SuspendingCliktCommand("limpetfold-ctl") {
    private val settingsPath by option("--settings", metavar = "FILE", envvar = "LIMPETFOLD_CTL_SETTINGS")
        .path()
        .default(Path.of("limpetfold-ctl.yaml"))
        .help("YAML settings file; the key platform is required")

    init {
        versionOption(CtlProgram::class.java.`package`.implementationVersion ?: "development")
        subcommands(
            StatusCommand(),
            CommandGroup("budget", "Shows and changes prepaid budgets.")
                .subcommands(ShowBudgetCommand(), TopUpCommand(), StrandedCommand(), ReclaimCommand()),
            CommandGroup("move", "Moves traffic between endpoint versions.")
                .subcommands(StartMoveCommand(), MoveStatusCommand(), TakeBackCommand(), WatchMoveCommand()),
            ExplainCommand(),
            CommandGroup("report", "Reports on the fleet.").subcommands(BurnCommand()),
            SuspendingCompletionCommand(),
        )
    }

    override fun help(context: Context): String = "Operates a limpetfold fleet."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 done, 2 invalid command line or settings, 3 refused (for example, another " +
            "operator was first), 4 not found, " +
            "5 platform unavailable, 6 a move has ended and not every router has confirmed it."

    override suspend fun run() {
        currentContext.obj = ::open
    }

    /** Runs the command line and returns the exit code. */
    suspend fun execute(args: List<String>): Int =
        try {
            parse(args)
            ExitCode.OK.code
        } catch (e: UsageError) {
            echoFormattedHelp(e)
            ExitCode.INVALID_INPUT.code
        } catch (e: CliktError) {
            echoFormattedHelp(e)
            e.statusCode
        }

    private fun open(): CtlSession {
        val settings =
            SettingsLoader(CtlSettings.serializer()).load(settingsPath).getOrElse { problems ->
                throw PrintMessage(problems.joinToString("\n"), ExitCode.INVALID_INPUT.code, printError = true)
            }
        return connect(settings)
    }

    private class CommandGroup(
        name: String,
        private val helpText: String,
    ) : SuspendingCliktCommand(name) {
        override fun help(context: Context): String = helpText

        override suspend fun run() = Unit
    }
}
