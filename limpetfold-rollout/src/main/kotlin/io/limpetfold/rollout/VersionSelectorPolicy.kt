package io.limpetfold.rollout

import java.time.Duration

/**
 * Time limits and bounds of a [VersionSelector].
 *
 * @property pollInterval how often the moves are read from the platform; each router adds a fixed jitter of up to a
 *   quarter to spread the reads.
 * @property peerTimeout how long to wait for the response of one peer.
 * @property outcomeTimeout after this time a request without an outcome counts as failed, on either version.
 * @property initialInFlightLimit how many requests may be in flight to the new version before its first success; each
 *   success allows one more.
 */
data class VersionSelectorPolicy(
    val pollInterval: Duration = Duration.ofSeconds(2),
    val peerTimeout: Duration = Duration.ofSeconds(1),
    val outcomeTimeout: Duration = DEFAULT_OUTCOME_TIMEOUT,
    val initialInFlightLimit: Int = 4,
) {
    private companion object {
        val DEFAULT_OUTCOME_TIMEOUT: Duration = Duration.ofSeconds(60)
    }
}
