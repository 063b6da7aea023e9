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
import io.limpetfold.config.AllowedPattern
import io.limpetfold.config.FleetConfig
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** A command that opens a [CtlSession], uses it, and closes it. */
internal abstract class SessionCommand(
    name: String,
    private val helpText: String,
) : SuspendingCliktCommand(name) {
    private val openSession by requireObject<() -> CtlSession>()
    private val output by option("--output", "-o")
        .enum<OutputFormat> { it.name.lowercase() }
        .default(OutputFormat.TABLE)
        .help("table for people, json for programs")

    override fun help(context: Context): String = helpText

    final override suspend fun run() {
        openSession().use { run(it) }
    }

    protected abstract suspend fun run(session: CtlSession)

    /** Prints [value] to the standard output in the chosen [OutputFormat]. */
    protected fun <T> show(
        value: T,
        serializer: KSerializer<T>,
        table: (T) -> String,
    ) = echo(if (output == OutputFormat.JSON) JSON.encodeToString(serializer, value) else table(value))

    /** Prints [message] to the error output, so that the standard output holds the result only. */
    protected fun printProgress(message: String) = echo(message, err = true)

    /** Returns the value or ends the program with the code for an unavailable platform. */
    protected fun <T> Result<T, StoreError>.orFail(): T = getOrElse { fail(ExitCode.PLATFORM_UNAVAILABLE, it.message) }

    /** Reads and decodes all objects under [prefix]; each pair starts with the object's path without the prefix. */
    protected suspend fun <T> CtlSession.readAll(
        prefix: String,
        serializer: KSerializer<T>,
    ): List<Pair<String, T>> =
        store.list(prefix).orFail().objects.map { stored ->
            try {
                stored.key.path.removePrefix(prefix) to TypedObject.JSON.decodeFromString(serializer, stored.value)
            } catch (e: SerializationException) {
                val cause = e.message?.lineSequence()?.first()
                fail(
                    ExitCode.PLATFORM_UNAVAILABLE,
                    "object ${stored.key} does not decode ($cause); use the limpetfold-ctl of the fleet's version",
                )
            }
        }

    /** Reads the published configuration. */
    protected suspend fun CtlSession.configuration(): FleetConfig =
        TypedObject(store, FleetConfig.KEY, FleetConfig.serializer()).read().orFail().value
            ?: fail(ExitCode.NOT_FOUND, "nothing is published yet; publish a configuration first")

    protected fun fail(
        code: ExitCode,
        message: String,
    ): Nothing = throw PrintMessage(message, code.code, printError = true)

    protected fun isName(text: String): Boolean = NAME.matches(text)

    protected companion object {
        const val NAME_RULE: String =
            "a name has 1 to 63 letters, digits, '.', '_' or '-' and starts with a letter or digit"
        private val NAME = Regex(AllowedPattern.NAME)
        private val JSON = Json { prettyPrint = true }
    }
}
