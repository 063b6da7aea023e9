package io.limpetfold.claim

import io.limpetfold.store.Change

/** The pure change that a batch of operations makes to a shard. */
internal object ShardChange {
    /**
     * Applies [operations] in order.
     *
     * Expired records are removed only together with another change, so that expiry costs no write of its own. A batch
     * whose operations all took effect already changes nothing; this is how an author recognises its own write after a
     * lost answer.
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
            is ShardOperation.Take -> {
                val isFree = found == null || (found.isUnfinished && operation.isDisowned(found.token))
                val hasRoom = found != null || records.size < policy.maxClaimsPerShard
                (isFree && hasRoom).also {
                    if (it) records[operation.hash] = ClaimRecord(operation.token, operation.claimedAtMillis)
                }
            }
            is ShardOperation.Finish -> {
                val isOpen = found?.token == operation.token && found.isUnfinished
                if (isOpen) records[operation.hash] = found.copy(status = operation.status)
                isOpen
            }
            is ShardOperation.Remove -> {
                val isOwn = found?.token == operation.token && found.isUnfinished
                if (isOwn) records -= operation.hash
                isOwn
            }
        }
    }
}
