package io.limpetfold.ctl

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs `limpetfold-ctl`. */
fun main(args: Array<String>) {
    // runBlocking resumes the program on this thread. Otherwise it would continue on the HTTP event loop, which it
    // closes at the end.
    val code = runBlocking { CtlProgram(CtlSession::connect).execute(args.toList()) }
    exitProcess(code)
}
