package io.limpetfold.claim

import java.time.Duration

/**
 * Bounds of [ClaimWitnesses].
 *
 * @property maxAskedPeers how many peers are asked to keep a claim; one more than [requiredPeers], so that one slow or
 * ended peer refuses no call.
 * @property requiredPeers how many peers must have confirmed before the call is forwarded, less where fewer are listed.
 * The claim is known while one of them or its own router runs.
 * @property confirmTimeout how long a peer may take to confirm; in this time the claim is also written to the store.
 * @property unsupportedTime how long a peer that rejects the topic is left out. It is a router of a version without it,
 * or was one until its restart.
 * @property maxOutcomes how many outcomes wait for the next message; the oldest are dropped. A peer that misses one
 * writes the claim as unfinished after a restore.
 */
data class WitnessPolicy(
    val maxAskedPeers: Int = 3,
    val requiredPeers: Int = 2,
    val confirmTimeout: Duration = QUARTER_SECOND,
    val unsupportedTime: Duration = Duration.ofSeconds(10),
    val maxOutcomes: Int = 2_000,
) {
    private companion object {
        val QUARTER_SECOND: Duration = Duration.ofMillis(250)
    }
}
