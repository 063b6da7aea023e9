package io.limpetfold.measure.slowreaders

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.whileConnected
import kotlinx.coroutines.delay

/** A plain service that reads nothing of a request's body for a while and then fails. */
internal class SilentEndpoint : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        exchange.whileConnected { delay(SILENCE_MILLIS) }
        exchange.respond(FAILED)
    }

    private companion object {
        const val SILENCE_MILLIS = 25_000L
        const val FAILED = 500
    }
}
