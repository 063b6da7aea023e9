package io.limpetfold.measure.slowreaders

import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.cancelOnDisconnect
import kotlinx.coroutines.delay

/** A plain service that does not read the request body and responds with status 500 after 25 s. */
internal class NonReadingEndpoint : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        exchange.cancelOnDisconnect { delay(DELAY_MILLIS) }
        exchange.respond(FAILED)
    }

    private companion object {
        const val DELAY_MILLIS = 25_000L
        const val FAILED = 500
    }
}
