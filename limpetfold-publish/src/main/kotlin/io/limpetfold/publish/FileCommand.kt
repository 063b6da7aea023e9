package io.limpetfold.publish

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.yaml.FileProblem
import io.limpetfold.config.yaml.FleetLoader

/** A command that reads service files; it exits with [ExitCode.INVALID_INPUT] when they are invalid. */
internal abstract class FileCommand(
    name: String,
) : SuspendingCliktCommand(name) {
    private val paths by argument("PATH")
        .path()
        .multiple(required = true)
        .help("Directories to search for ${FileCollector.FILE_NAME}, or files")

    /** Reads all files; if any is invalid, prints the problems of all files and exits. */
    protected fun load(): FleetConfig {
        val collected = FileCollector.collect(paths)
        val loaded = FleetLoader().load(collected.files)
        val problems = collected.problems + loaded.fold(success = { emptyList() }, failure = { it })
        return loaded.takeIf { problems.isEmpty() }?.getOrElse { null } ?: fail(problems)
    }

    protected fun fail(problems: List<FileProblem>): Nothing {
        problems.forEach { echo(it.toString(), err = true) }
        fail(
            ExitCode.INVALID_INPUT,
            "${problems.size} ${if (problems.size == 1) "fault" else "faults"}; nothing was published",
        )
    }

    protected fun fail(
        code: ExitCode,
        message: String,
    ): Nothing {
        echo(message, err = true)
        throw ProgramResult(code.code)
    }
}
