package io.limpetfold.claim

import io.limpetfold.core.InstanceId

/**
 * What one router adds to a shard that a restore of the store has taken back.
 *
 * @property own the records of its own claims, by key hash.
 * @property kept the claims of other routers that it keeps for them.
 * @property required the instances that may have claimed since the copy was made, null while they are unknown.
 */
internal class RestoredClaims(
    val instance: InstanceId,
    val own: Map<String, ClaimRecord>,
    val kept: List<WitnessedClaim>,
    val required: Set<String>?,
) {
    /** Returns [stored] with these claims. */
    fun addTo(stored: Map<String, ClaimRecord>): Map<String, ClaimRecord> {
        val merged = HashMap(stored)
        for (claim in kept) merged.merge(claim.hash, claim.record, ClaimRecord::mergedWith)
        return merged + own
    }
}
