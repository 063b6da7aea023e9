package io.limpetfold.http

/** Handles requests. Called on the server's coroutine dispatcher, in one coroutine per request. */
fun interface HttpHandler {
    /**
     * Responds to [exchange] once.
     *
     * If it returns or throws without a response, the server responds with status 500 and a JSON error.
     */
    suspend fun handle(exchange: HttpExchange)
}
