package io.limpetfold.rollout

import java.time.Duration

/**
 * Times and bounds of a [VersionSelector].
 *
 * @property pollInterval how often the moves are read from the platform; up to a quarter is added by instance to spread the reads.
 * @property peerTimeout how long one peer is waited for.
 * @property outcomeTimeout after this a request without outcome counts as failed, on either version.
 * @property leastInFlight requests that may be in flight to the new version before it has succeeded once; each success allows one more.
 */
data class VersionSelectorPolicy(
    val pollInterval: Duration = Duration.ofSeconds(2),
    val peerTimeout: Duration = Duration.ofSeconds(1),
    val outcomeTimeout: Duration = DEFAULT_OVERDUE_AFTER,
    val leastInFlight: Int = 4,
) {
    private companion object {
        val DEFAULT_OVERDUE_AFTER: Duration = Duration.ofSeconds(60)
    }
}
