package io.limpetfold.peer.ktor

import java.time.Duration

/**
 * Limits and timeouts of a [KtorPeerNetwork].
 *
 * @property maxConnections maximum number of open connections to authenticated peers.
 * @property maxHandshakes maximum number of accepted connections that have not proven the fleet key yet.
 * @property maxFrameBytes maximum size of a message.
 * @property maxInFlight maximum number of asks in flight on a connection, in each direction.
 * @property maxQueuedBytes maximum number of bytes waiting to be written on a connection.
 * @property pingInterval a ping is sent on a connection on which nothing was sent for this time.
 * @property idleTimeout a connection on which nothing was received for this time is closed.
 * @property backoffMin delay before the first retry of a connection attempt; doubles up to [backoffMax], with jitter.
 * @property duplicateAvoidanceDelay delay before the instance with the larger name dials, so that the two instances of
 * a pair seldom dial each other at the same time.
 */
data class PeerPolicy(
    val maxConnections: Int = 32,
    val maxHandshakes: Int = 32,
    val maxFrameBytes: Int = 1_048_576,
    val maxInFlight: Int = 256,
    val maxQueuedBytes: Int = 2_097_152,
    val connectTimeout: Duration = Duration.ofSeconds(2),
    val handshakeTimeout: Duration = HANDSHAKE_TIMEOUT,
    val writeTimeout: Duration = WRITE_TIMEOUT,
    val pingInterval: Duration = Duration.ofSeconds(2),
    val idleTimeout: Duration = IDLE_TIMEOUT,
    val backoffMin: Duration = BACKOFF_MIN,
    val backoffMax: Duration = BACKOFF_MAX,
    val duplicateAvoidanceDelay: Duration = DUPLICATE_AVOIDANCE_DELAY,
) {
    init {
        require(maxConnections > 0 && maxHandshakes > 0 && maxInFlight > 0) {
            "maxConnections, maxHandshakes and maxInFlight must be at least 1"
        }
        require(maxQueuedBytes >= maxFrameBytes) { "maxQueuedBytes must be at least maxFrameBytes" }
        require(pingInterval < idleTimeout) { "pingInterval must be shorter than idleTimeout" }
    }

    private companion object {
        val HANDSHAKE_TIMEOUT: Duration = Duration.ofSeconds(3)
        val WRITE_TIMEOUT: Duration = Duration.ofSeconds(6)
        val IDLE_TIMEOUT: Duration = Duration.ofSeconds(6)
        val BACKOFF_MIN: Duration = Duration.ofMillis(200)
        val BACKOFF_MAX: Duration = Duration.ofSeconds(5)
        val DUPLICATE_AVOIDANCE_DELAY: Duration = Duration.ofMillis(300)
    }
}
