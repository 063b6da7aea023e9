package io.limpetfold.measure.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs the caller commands of `bin/demo` and the checks of their results. */
fun main(args: Array<String>) =
    DemoCommand().subcommands(DemoWaitCommand(), DemoCallCommand(), DemoVerifyCommand()).main(args)

private class DemoCommand : CliktCommand(name = "demo") {
    override fun run() = Unit
}
