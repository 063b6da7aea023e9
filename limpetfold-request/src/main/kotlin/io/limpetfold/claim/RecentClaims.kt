package io.limpetfold.claim

import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.toKotlinDuration

/**
 * The claims of this process in one shard that a copy of the store may lack. Safe for concurrent use.
 *
 * A record is dropped once the store has responded in the era of its last write, and so long after it that the copy of
 * any later restore has it.
 *
 * @param maxCopyAge how old the copy may be from which the store is restored.
 */
internal class RecentClaims(
    private val maxCopyAge: Duration,
) {
    private val claims = HashMap<String, RecentClaim>()

    /** The records by key hash. */
    @Synchronized
    fun records(): Map<String, ClaimRecord> = claims.mapValues { it.value.record }

    /** The records of shard [shard] as a peer may keep them. */
    @Synchronized
    fun copies(shard: Int): List<ClaimCopy> =
        claims.map { (hash, claim) -> ClaimCopy(shard, hash, claim.record, claim.era) }

    /** Takes note of what is about to be written; an outcome is kept even if its write fails. */
    @Synchronized
    fun onSubmitted(operation: ShardOperation) {
        val known = claims[operation.hash]?.takeIf { it.record.token == operation.token } ?: return
        when (operation) {
            is ShardOperation.Acquire -> Unit
            is ShardOperation.Complete ->
                claims[operation.hash] = known.copy(record = known.record.copy(status = operation.status))
            is ShardOperation.Remove -> claims -= operation.hash
        }
    }

    /** [shard] was written or read in [era], in response to a call that began at [sentAt]. */
    @Synchronized
    fun onStored(
        shard: ClaimShard,
        operations: List<ShardOperation>,
        era: Long,
        sentAt: TimeMark,
        now: TimeMark,
    ) {
        for (operation in operations) {
            val record = shard.records[operation.hash]?.takeIf { it.isHeldOnlyBy(operation.token) } ?: continue
            if (operation !is ShardOperation.Remove) claims[operation.hash] = RecentClaim(record, era, now)
        }
        val callDuration = sentAt.elapsedNow()
        claims.values.removeIf {
            it.era == era && it.writtenAt.elapsedNow() - callDuration > maxCopyAge.toKotlinDuration()
        }
    }

    /** The records [restored] were found in the store, or written to it again, in [era]. */
    @Synchronized
    fun onRestored(
        restored: Map<String, ClaimRecord>,
        era: Long,
        now: TimeMark,
    ) {
        for ((hash, record) in restored) {
            val known = claims[hash]?.takeIf { it.record.token == record.token } ?: continue
            claims[hash] = known.copy(era = era, writtenAt = now)
        }
    }

    private data class RecentClaim(
        val record: ClaimRecord,
        val era: Long,
        val writtenAt: TimeMark,
    )
}
