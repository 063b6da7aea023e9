package io.limpetfold.peer.ktor

import java.time.Duration

/**
 * Bounds and times of a [KtorPeerNetwork].
 *
 * @property maxConnections open connections to authenticated peers.
 * @property maxHandshakes accepted connections that have not proven the fleet key yet.
 * @property maxFrameBytes bound on one message.
 * @property maxInFlight asks without a reply on one connection, in each direction.
 * @property maxQueuedBytes bytes that wait to be written on one connection.
 * @property pingInterval a connection on which nothing was sent for this time sends a ping.
 * @property idleTimeout a connection on which nothing arrived for this time is closed.
 * @property backoffMin first pause before a repeated connection attempt; doubles up to [backoffMax], with jitter.
 * @property duplicateGrace pause before the instance with the larger name connects, so that a pair seldom connects twice.
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
    val duplicateGrace: Duration = DUPLICATE_GRACE,
) {
    init {
        require(maxConnections > 0 && maxHandshakes > 0 && maxInFlight > 0) { "each bound must be at least 1" }
        require(maxQueuedBytes >= maxFrameBytes) { "maxQueuedBytes must hold at least one frame of maxFrameBytes" }
        require(pingInterval < idleTimeout) { "pingInterval must be shorter than idleTimeout" }
    }

    private companion object {
        val HANDSHAKE_TIMEOUT: Duration = Duration.ofSeconds(3)
        val WRITE_TIMEOUT: Duration = Duration.ofSeconds(6)
        val IDLE_TIMEOUT: Duration = Duration.ofSeconds(6)
        val BACKOFF_MIN: Duration = Duration.ofMillis(200)
        val BACKOFF_MAX: Duration = Duration.ofSeconds(5)
        val DUPLICATE_GRACE: Duration = Duration.ofMillis(300)
    }
}
