package io.limpetfold.measure.limits

/** The result of one run. */
internal class LimitsRunResult {
    var requests = 0
    var refused = 0

    /** Maximum number of requests of all routers that were in flight at one endpoint at the same time. */
    var maxInFlight = 0

    /** Requests to peers, about loans and about endpoints that are shutting down. */
    var peerMessages = 0L

    /** Waiting times of the requests that got a slot. */
    val waitsMillis = mutableListOf<Long>()
}
