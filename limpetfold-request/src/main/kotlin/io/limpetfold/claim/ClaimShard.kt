package io.limpetfold.claim

import kotlinx.serialization.Serializable

/**
 * The stored value of `claim/<shard>`: claim records by key hash.
 *
 * @property era the era of the store in which the write was based; in another era records may be missing.
 * @property isComplete whether all routers have written the records again that a restore to [era] may have lost.
 * @property restoredBy the instances that have done so, until [isComplete].
 */
@Serializable
internal data class ClaimShard(
    val records: Map<String, ClaimRecord> = emptyMap(),
    val era: Long = 0,
    val isComplete: Boolean = false,
    val restoredBy: Set<String> = emptySet(),
) {
    /** Whether a key without a record is unclaimed when this was read in [currentEra]; nothing is lost in era 0. */
    fun isCompleteIn(currentEra: Long): Boolean = era == currentEra && (era == 0L || isComplete)
}
