package io.limpetfold.claim

import kotlinx.serialization.Serializable

/**
 * The stored value of `claim-body/<shard>`: response bodies of completed calls by key hash, oldest first.
 *
 * Bodies are stored apart from the claims, so that a new claim does not rewrite them and a shard stays under 1 MB.
 */
@Serializable
internal data class ClaimBodies(
    val bodies: Map<String, ClaimBody> = emptyMap(),
) {
    /** Returns a copy with [added] and without bodies older than [oldestMillis]; evicts the oldest above [maxBytes]. */
    fun withAdded(
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
