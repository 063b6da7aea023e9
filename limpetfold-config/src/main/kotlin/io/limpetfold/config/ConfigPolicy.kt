package io.limpetfold.config

import java.time.Duration

/**
 * Times and bounds of a [ConfigWatcher].
 *
 * @property pollMin the time to the next poll is drawn evenly from [pollMin] to [pollMax]; two polls fit into the 18 s in which a
 *   generation is in force, so one may be lost.
 * @property watchWait bound on one watch.
 * @property peerTimeout bound on one question to a peer.
 * @property maxPeersAsked peers asked in one round when the platform gave no answer.
 */
data class ConfigPolicy(
    val pollMin: Duration = POLL_MIN,
    val pollMax: Duration = POLL_MAX,
    val watchWait: Duration = WATCH_WAIT,
    val peerTimeout: Duration = Duration.ofSeconds(1),
    val maxPeersAsked: Int = 3,
) {
    init {
        require(pollMin <= pollMax) { "pollMin $pollMin exceeds pollMax $pollMax; swap them" }
        require(maxPeersAsked > 0) { "maxPeersAsked must be at least 1" }
    }

    private companion object {
        val POLL_MIN: Duration = Duration.ofSeconds(5)
        val POLL_MAX: Duration = Duration.ofSeconds(8)
        val WATCH_WAIT: Duration = Duration.ofSeconds(18)
    }
}
