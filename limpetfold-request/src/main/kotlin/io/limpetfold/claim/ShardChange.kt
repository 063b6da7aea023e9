package io.limpetfold.claim

import io.limpetfold.store.Change

/** Computes the change that a batch of operations makes to a shard, without side effects. */
internal object ShardChange {
    /**
     * Applies [operations] in order.
     *
     * Expired records are removed only together with another change, so that expiry costs no extra write. A batch whose
     * operations have all taken effect changes nothing. After a lost response, this is how a router recognises that its
     * own write was stored.
     *
     * @param era the era of the store in which [current] was read.
     */
    fun apply(
        current: ClaimShard?,
        operations: List<ShardOperation>,
        nowMillis: Long,
        policy: ClaimPolicy,
        era: Long,
    ): Change<ClaimShard, Nothing> {
        val shard = current ?: ClaimShard(era = era)
        val records = HashMap(unexpired(shard.records, nowMillis, policy))
        var isChanged = false
        for (operation in operations) {
            if (operation is ShardOperation.Acquire && !shard.isCompleteIn(era)) continue
            isChanged = applyOne(records, operation, policy) || isChanged
        }
        return if (isChanged) Change.Write(shard.copy(records = records)) else Change.Keep
    }

    /**
     * Adds [own] records to a shard that a restore of the store has taken back, on behalf of [instance].
     *
     * They replace others: in an incomplete shard no other router can have been granted a key since the restore, and
     * what the copy has is older.
     *
     * @param required the instances that may have claimed since the copy was made, null while they are unknown.
     */
    fun restore(
        current: ClaimShard?,
        own: Map<String, ClaimRecord>,
        instance: String,
        required: Set<String>?,
        nowMillis: Long,
        policy: ClaimPolicy,
        era: Long,
    ): Change<ClaimShard, Nothing> {
        val shard = current ?: ClaimShard(era = era)
        if (shard.isCompleteIn(era)) return Change.Keep
        val restoredBy = (if (shard.era == era) shard.restoredBy else emptySet()) + instance
        val isComplete = required != null && restoredBy.containsAll(required)
        if (shard.era == era && restoredBy == shard.restoredBy && !isComplete) return Change.Keep
        val records = unexpired(shard.records + own, nowMillis, policy)
        return Change.Write(ClaimShard(records, era, isComplete, if (isComplete) emptySet() else restoredBy))
    }

    private fun unexpired(
        records: Map<String, ClaimRecord>,
        nowMillis: Long,
        policy: ClaimPolicy,
    ): Map<String, ClaimRecord> {
        val oldestMillis = nowMillis - policy.retention.toMillis()
        return records.filterValues { it.claimedAtMillis > oldestMillis }
    }

    private fun applyOne(
        records: MutableMap<String, ClaimRecord>,
        operation: ShardOperation,
        policy: ClaimPolicy,
    ): Boolean {
        val found = records[operation.hash]
        return when (operation) {
            is ShardOperation.Acquire -> {
                val isFree = found == null || (found.isUnfinished && operation.isDisowned(found.token))
                val hasRoom = found != null || records.size < policy.maxClaimsPerShard
                (isFree && hasRoom).also {
                    if (it) records[operation.hash] = ClaimRecord(operation.token, operation.claimedAtMillis)
                }
            }
            is ShardOperation.Complete -> {
                val isOwnUnfinished = found?.token == operation.token && found.isUnfinished
                if (isOwnUnfinished) records[operation.hash] = found.copy(status = operation.status)
                isOwnUnfinished
            }
            is ShardOperation.Remove -> {
                val isOwnUnfinished = found?.token == operation.token && found.isUnfinished
                if (isOwnUnfinished) records -= operation.hash
                isOwnUnfinished
            }
        }
    }
}
