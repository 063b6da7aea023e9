package io.limpetfold.publish

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs `limpetfold-publish`. */
fun main(args: Array<String>) {
    // runBlocking resumes the program on the main thread; otherwise it would run on the event loop of the HTTP client,
    // which it closes at the end.
    val code = runBlocking { PublishProgram(HttpPlatform::connect).execute(args.toList()) }
    exitProcess(code)
}
