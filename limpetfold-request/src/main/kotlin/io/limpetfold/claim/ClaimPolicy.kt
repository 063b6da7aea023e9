package io.limpetfold.claim

import java.time.Duration

/**
 * Bounds of a [ClaimRegistry].
 *
 * @property retention how long a claim is kept, by wall time.
 * @property forwardWithin the greatest age at which a claim may still be forwarded. The difference to [retention] is the
 * clock error between routers that cannot lead to a second forward.
 * @property maxClaimsPerShard 6,000 records of about 90 bytes keep a shard under the platform's 1 MB.
 * @property batchWindow how long the first claim of a batch waits for others.
 * @property writeTimeout bound of one batch; also the longest time by which a call can outlast its maximum wait.
 * @property maxBodyChars longer bodies are not kept.
 * @property maxBodiesBytes bound of the bodies of one shard, below the platform's 1 MB.
 * @property fullRetryAfter hint when a shard is full.
 * @property unavailableRetryAfter hint when the platform is down.
 * @property lateWriteWindow how long after its loss a write may still take effect; a disowned claim is removed again
 * until then.
 * @property maxDisowned disowned claims remembered for removal; a forgotten one blocks its key until it expires.
 */
data class ClaimPolicy(
    val retention: Duration = Duration.ofDays(1),
    val forwardWithin: Duration = FIVE_MINUTES,
    val maxClaimsPerShard: Int = 6_000,
    val batchWindow: Duration = FOUR_MILLIS,
    val writeTimeout: Duration = Duration.ofSeconds(2),
    val maxBodyChars: Int = 4_096,
    val maxBodiesBytes: Int = 750_000,
    val fullRetryAfter: Duration = FIVE_MINUTES,
    val unavailableRetryAfter: Duration = Duration.ofSeconds(2),
    val lateWriteWindow: Duration = Duration.ofMinutes(1),
    val maxDisowned: Int = 10_000,
) {
    init {
        require(forwardWithin < retention) { "forwardWithin must be shorter than retention" }
    }

    private companion object {
        val FIVE_MINUTES: Duration = Duration.ofMinutes(5)
        val FOUR_MILLIS: Duration = Duration.ofMillis(4)
    }
}
