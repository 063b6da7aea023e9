package io.limpetfold.publish

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs `limpetfold-publish`. */
fun main(args: Array<String>) {
    // Without a dispatcher of its own the program would go on in the event loop of the HTTP client, which it closes at the end.
    val code = runBlocking { PublishProgram(HttpPlatform::connect).execute(args.toList()) }
    exitProcess(code)
}
