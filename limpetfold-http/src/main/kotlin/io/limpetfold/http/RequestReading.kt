package io.limpetfold.http

/** What a received request head says, decided once; nothing reads the head as received after this. */
internal sealed interface RequestReading {
    /** The request is passed to the handler with [head]; its response is framed by [traits]. */
    class Accepted(
        val head: RequestHead,
        val traits: ServerExchange.Traits,
    ) : RequestReading

    /** The request did not run and will not; the connection closes after the response. */
    class Refused(
        val refusal: RequestCheck.Refusal,
    ) : RequestReading
}
