package io.limpetfold.claim

/** A shard as it was written or read in [era]. */
internal class WrittenShard(
    val shard: ClaimShard,
    val era: Long,
) {
    /** Whether a key without a record is unclaimed. */
    val isComplete: Boolean get() = shard.isCompleteIn(era)
}
