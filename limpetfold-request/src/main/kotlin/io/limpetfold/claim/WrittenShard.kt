package io.limpetfold.claim

/**
 * A shard as it was written or read in [era].
 *
 * @property hasCopies whether enough peers keep the new claims of the write.
 */
internal class WrittenShard(
    val shard: ClaimShard,
    val era: Long,
    val hasCopies: Boolean = false,
) {
    /** Whether a key without a record is unclaimed. */
    val isComplete: Boolean get() = shard.isCompleteIn(era)
}
