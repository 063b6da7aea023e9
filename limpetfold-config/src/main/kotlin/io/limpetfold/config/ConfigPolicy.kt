package io.limpetfold.config

import java.time.Duration

/**
 * Intervals, timeouts and limits of a [ConfigWatcher].
 *
 * @property minPollInterval the delay to the next poll is drawn uniformly from [minPollInterval] to [maxPollInterval].
 *   Two polls fit into the 18 s within which a new generation must reach every router, so one poll may be lost.
 * @property watchWait longest wait of one watch for a new generation.
 * @property peerTimeout timeout for one request to a peer.
 * @property maxPeersAsked maximum number of peers asked in one round when the platform did not respond.
 */
data class ConfigPolicy(
    val minPollInterval: Duration = MIN_POLL_INTERVAL,
    val maxPollInterval: Duration = MAX_POLL_INTERVAL,
    val watchWait: Duration = WATCH_WAIT,
    val peerTimeout: Duration = Duration.ofSeconds(1),
    val maxPeersAsked: Int = 3,
) {
    init {
        require(minPollInterval <= maxPollInterval) {
            "minPollInterval $minPollInterval exceeds maxPollInterval $maxPollInterval; swap them"
        }
        require(maxPeersAsked > 0) { "maxPeersAsked must be at least 1" }
    }

    private companion object {
        val MIN_POLL_INTERVAL: Duration = Duration.ofSeconds(5)
        val MAX_POLL_INTERVAL: Duration = Duration.ofSeconds(8)
        val WATCH_WAIT: Duration = Duration.ofSeconds(18)
    }
}
