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
    /**
     * Returns [stored] with those of these claims that [isHeld], that is, that have not expired.
     *
     * By a slower clock, an own claim may not have expired whose key another router has claimed since. So the key stays
     * claimed for as long as the later of them.
     */
    fun addTo(
        stored: Map<String, ClaimRecord>,
        isHeld: (ClaimRecord) -> Boolean,
    ): Map<String, ClaimRecord> {
        val merged = HashMap(stored)
        for (claim in kept) if (isHeld(claim.record)) merged.merge(claim.hash, claim.record, ClaimRecord::mergedWith)
        for ((hash, record) in own) {
            if (isHeld(
                    record,
                )
            ) {
                merged.merge(hash, record) { found, added -> added.notBefore(found) }
            }
        }
        return merged
    }
}
