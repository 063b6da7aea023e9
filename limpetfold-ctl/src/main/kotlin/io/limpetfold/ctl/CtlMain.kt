package io.limpetfold.ctl

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs `limpetfold-ctl`. */
fun main(args: Array<String>) {
    // With a dispatcher of its own the program does not go on in an event loop that it closes at the end.
    val code = runBlocking { CtlProgram(CtlSession::connect).execute(args.toList()) }
    exitProcess(code)
}
