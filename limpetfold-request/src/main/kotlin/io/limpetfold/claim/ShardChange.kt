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
     */
    fun apply(
        current: ClaimShard?,
        operations: List<ShardOperation>,
        nowMillis: Long,
        policy: ClaimPolicy,
    ): Change<ClaimShard, Nothing> {
        val oldestMillis = nowMillis - policy.retention.toMillis()
        val records = HashMap(current?.records.orEmpty().filterValues { it.claimedAtMillis > oldestMillis })
        var isChanged = false
        for (operation in operations) {
            isChanged = applyOne(records, operation, policy) || isChanged
        }
        return if (isChanged) Change.Write(ClaimShard(records)) else Change.Keep
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
