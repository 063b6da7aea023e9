package io.limpetfold.claim

import kotlinx.serialization.Serializable

/**
 * The stored value of `claim-body/<shard>`: bodies of finished calls by key hash, oldest first.
 *
 * Bodies are an object of their own, so that every claim does not rewrite them and a shard stays under 1 MB.
 */
@Serializable
internal data class ClaimBodies(
    val bodies: Map<String, ClaimBody> = emptyMap(),
) {
    /** Adds [added], drops what is older than [oldestMillis], and then the oldest until the sum is within [maxBytes]. */
    fun with(
        added: Map<String, ClaimBody>,
        oldestMillis: Long,
        maxBytes: Int,
    ): ClaimBodies {
        val kept = LinkedHashMap(bodies.filterValues { it.storedAtMillis >= oldestMillis })
        kept += added
        var sum = kept.entries.sumOf { it.value.sizeBytes }
        val oldestFirst = kept.entries.iterator()
        while (sum > maxBytes && oldestFirst.hasNext()) {
            sum -= oldestFirst.next().value.sizeBytes
            oldestFirst.remove()
        }
        return ClaimBodies(kept)
    }
}
