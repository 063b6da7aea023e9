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
     * Adds the claims of a router to a shard that a restore of the store has taken back.
     *
     * Its own records replace others: in an incomplete shard no other router can have been granted a key since the restore, and
     * what the copy has is older. A peer of another router can't tell which of several claims of a key was granted, so
     * what it keeps is added to what is stored.
     */
    fun restore(
        current: ClaimShard?,
        claims: RestoredClaims,
        nowMillis: Long,
        policy: ClaimPolicy,
        era: Long,
    ): Change<ClaimShard, Nothing> {
        val shard = current ?: ClaimShard(era = era)
        if (shard.isCompleteIn(era)) return Change.Keep
        val restoredBy = (if (shard.era == era) shard.restoredBy else emptySet()) + claims.instance.value
        val isComplete = claims.required != null && restoredBy.containsAll(claims.required)
        if (shard.era == era && restoredBy == shard.restoredBy && !isComplete) return Change.Keep
        val oldestMillis = nowMillis - policy.retention.toMillis()
        val records = claims.addTo(unexpired(shard.records, nowMillis, policy)) { it.claimedAtMillis > oldestMillis }
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
                val isFree = found == null || (found.isUnfinished && found.tokens.all(operation.isDisowned))
                val hasRoom = found != null || records.size < policy.maxClaimsPerShard
                (isFree && hasRoom).also {
                    if (it) records[operation.hash] = ClaimRecord(operation.token, operation.claimedAtMillis)
                }
            }
            is ShardOperation.Complete ->
                replaceOwn(records, operation) {
                    ClaimRecord(operation.token, it.claimedAtMillis, operation.status)
                }
            is ShardOperation.Remove -> replaceOwn(records, operation) { it.without(operation.token) }
        }
    }

    /** Replaces or removes an unfinished record that the attempt of [operation] may hold; returns whether it found one. */
    private fun replaceOwn(
        records: MutableMap<String, ClaimRecord>,
        operation: ShardOperation,
        change: (ClaimRecord) -> ClaimRecord?,
    ): Boolean {
        val found = records[operation.hash]?.takeIf { it.isUnfinished && operation.token in it.tokens } ?: return false
        val next = change(found)
        if (next == null) records -= operation.hash else records[operation.hash] = next
        return true
    }
}
