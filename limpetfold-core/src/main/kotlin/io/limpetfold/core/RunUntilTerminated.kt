package io.limpetfold.core

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlin.concurrent.thread

/**
 * Runs [start] and waits for a signal to end the process; then runs [stop] and exits with code 0.
 *
 * [stop] may be called while [start] is running, because a server that accepts calls must not end without answering
 * them. If [start] throws, [stop] is not called and the exception is thrown to the caller.
 */
fun runUntilTerminated(
    start: suspend () -> Unit,
    stop: suspend () -> Unit,
): Nothing {
    val hook =
        thread(start = false, name = "planned-stop") {
            runBlocking { stop() }
            // Without halt, the JVM would exit with the code of the signal although the shutdown succeeded.
            Runtime.getRuntime().halt(0)
        }
    Runtime.getRuntime().addShutdownHook(hook)
    runBlocking {
        try {
            start()
        } catch (e: Throwable) {
            // Fails if the shutdown has begun; the process then ends by it.
            runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
            throw e
        }
        awaitCancellation()
    }
}
