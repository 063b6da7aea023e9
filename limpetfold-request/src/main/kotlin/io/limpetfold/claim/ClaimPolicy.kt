package io.limpetfold.claim

import java.time.Duration

/**
 * Bounds of a [ClaimRegistry].
 *
 * @property retention how long a claim is kept, by wall time.
 * @property maxForwardAge the maximum age at which a call with a claim may still be forwarded. The wall clocks of
 * routers may differ by up to [retention] less this age without causing a second forward.
 * @property maxClaimsPerShard 6,000 records of about 90 bytes keep a shard under the platform's limit of 1 MB.
 * @property batchWindow how long the first operation of a batch waits for others.
 * @property writeTimeout timeout of one batch; also the maximum time by which a call can exceed its maximum wait.
 * @property maxBodyChars longer bodies are not kept.
 * @property maxBodiesBytes maximum size of the bodies of one shard, below the platform's limit of 1 MB.
 * @property shardFullRetryAfter retry hint for the caller when a shard is full.
 * @property unavailableRetryAfter retry hint for the caller when the platform is unavailable.
 * @property lateWriteWindow how long a write with an unknown outcome may still take effect; until then the removal of a
 * disowned claim is repeated.
 * @property maxWriteDuration the longest time from the message to the peers to the response of the store; a claim that
 * took longer is given up, because the peers count the time for which they keep it from its receipt.
 * @property handOverTimeout how long the parts of a handover before a planned stop may take: writing the claims again
 * after a restore, and the copies to peers.
 * @property maxCopyAge how old the copy may be from which the store is restored; a router remembers its claims for this
 * long, to write them again.
 * @property restoreRetryAfter retry hint for the caller while claims are written again after a restore of the store.
 * @property maxDisownedClaims number of disowned claims remembered for removal; one that is evicted from memory blocks
 * its key until it expires.
 */
data class ClaimPolicy(
    val retention: Duration = Duration.ofDays(1),
    val maxForwardAge: Duration = FIVE_MINUTES,
    val maxClaimsPerShard: Int = 6_000,
    val batchWindow: Duration = FOUR_MILLIS,
    val writeTimeout: Duration = Duration.ofSeconds(2),
    val maxBodyChars: Int = 4_096,
    val maxBodiesBytes: Int = 750_000,
    val shardFullRetryAfter: Duration = FIVE_MINUTES,
    val unavailableRetryAfter: Duration = Duration.ofSeconds(2),
    val lateWriteWindow: Duration = Duration.ofMinutes(1),
    val maxDisownedClaims: Int = 10_000,
    val maxCopyAge: Duration = FIVE_MINUTES,
    val restoreRetryAfter: Duration = Duration.ofSeconds(2),
    val maxWriteDuration: Duration = Duration.ofSeconds(10),
    val handOverTimeout: Duration = Duration.ofSeconds(1),
) {
    init {
        require(maxForwardAge < retention) { "maxForwardAge must be shorter than retention" }
    }

    private companion object {
        val FIVE_MINUTES: Duration = Duration.ofMinutes(5)
        val FOUR_MILLIS: Duration = Duration.ofMillis(4)
    }
}
