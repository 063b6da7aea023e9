package io.limpetfold.http

/** Answers requests; called on the server's coroutine dispatcher, one coroutine for each request. */
fun interface HttpHandler {
    /** Answers [exchange] once; a return or an exception without an answer becomes a JSON error with status 500. */
    suspend fun handle(exchange: HttpExchange)
}
