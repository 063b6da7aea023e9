package io.limpetfold.ctl

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.store.StoreError
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** A command that works on a session. */
internal abstract class SessionCommand(
    name: String,
    private val helpText: String,
) : SuspendingCliktCommand(name) {
    private val opener by requireObject<() -> CtlSession>()
    private val output by option("--output", "-o")
        .enum<OutputFormat> { it.name.lowercase() }
        .default(OutputFormat.TABLE)
        .help("table for people, json for programs")

    override fun help(context: Context): String = helpText

    final override suspend fun run() {
        opener().use { run(it) }
    }

    protected abstract suspend fun run(session: CtlSession)

    /** Prints [value] in the chosen form. */
    protected fun <T> show(
        value: T,
        serializer: KSerializer<T>,
        table: (T) -> String,
    ) = echo(if (output == OutputFormat.JSON) JSON.encodeToString(serializer, value) else table(value))

    /** Prints [progress] for people; programs that read JSON see the result only. */
    protected fun progress(progress: String) {
        if (output == OutputFormat.TABLE) echo(progress)
    }

    /** Returns the value or ends the program with the code for an unavailable platform. */
    protected fun <T> Result<T, StoreError>.orFail(): T = getOrElse { fail(ExitCode.PLATFORM_UNAVAILABLE, it.message) }

    protected fun fail(
        code: ExitCode,
        message: String,
    ): Nothing = throw PrintMessage(message, code.code, printError = true)

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}
