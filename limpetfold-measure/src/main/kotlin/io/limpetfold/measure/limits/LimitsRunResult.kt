package io.limpetfold.measure.limits

/** What one run came to. */
internal class LimitsRunResult {
    var requests = 0
    var refused = 0

    /** The most requests that one endpoint held at once, over all routers. */
    var maxInFlight = 0

    /** Questions to peers, for loans and for leaving endpoints. */
    var peerMessages = 0L

    /** Waits of the requests that got a slot. */
    val waitsMillis = mutableListOf<Long>()
}
