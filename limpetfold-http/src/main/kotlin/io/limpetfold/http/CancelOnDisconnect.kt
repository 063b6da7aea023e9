package io.limpetfold.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive

/** Runs [block]; if the caller disconnects, cancels it and throws [CallerDisconnectedException]. */
suspend fun <T> HttpExchange.cancelOnDisconnect(block: suspend CoroutineScope.() -> T): T =
    coroutineScope {
        val work = async { block() }
        val handle = onCallerDisconnected { work.cancel() }
        try {
            work.await()
        } catch (e: CancellationException) {
            ensureActive()
            if (callerDisconnected.isCompleted) throw CallerDisconnectedException()
            throw e
        } finally {
            handle.dispose()
        }
    }
