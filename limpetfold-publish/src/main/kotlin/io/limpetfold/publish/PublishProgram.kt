package io.limpetfold.publish

import com.github.ajalt.clikt.command.SuspendingNoOpCliktCommand
import com.github.ajalt.clikt.command.parse
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption

/** The command line of `limpetfold-publish`. */
internal class PublishProgram(
    connect: (PublishSettings) -> Platform,
    createConfirmationReader: (Platform) -> ConfirmationReader = { ConfirmationReader(it) },
) : SuspendingNoOpCliktCommand("limpetfold-publish") {
    init {
        versionOption(PublishProgram::class.java.`package`.implementationVersion ?: "development")
        subcommands(CheckCommand(), DiffCommand(connect), PublishCommand(connect, createConfirmationReader))
    }

    override fun help(context: Context): String = "Checks service files and publishes them to the router fleet."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 success, 2 invalid input, 3 another generation was published first, " +
            "4 published but not confirmed by every router in time, 5 platform unavailable."

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
}
