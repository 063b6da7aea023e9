package io.limpetfold.claim

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One claimed key inside a [ClaimShard]. The stored names are short because a shard holds thousands of records.
 *
 * @property token unique for each attempt to claim, so that only the router that made the attempt recognises it.
 * @property claimedAtMillis wall time of the claim, for expiry.
 * @property status HTTP status of the completed call, or 0 while no response is recorded.
 * @property otherTokens tokens of further attempts, one of which may hold the key in place of [token]; only a restore of
 * the store leaves more than one.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ClaimRecord(
    @SerialName("k") val token: String,
    @SerialName("t") val claimedAtMillis: Long,
    @SerialName("s") val status: Int = UNFINISHED,
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    @SerialName("o")
    val otherTokens: Set<String> = emptySet(),
) {
    val isUnfinished: Boolean get() = status == UNFINISHED

    /** All attempts that may hold the key. */
    val tokens: Set<String> get() = otherTokens + token

    /** Whether the attempt [token] holds the key, and no other can. */
    fun isHeldOnlyBy(token: String): Boolean = this.token == token && otherTokens.isEmpty()

    /**
     * The record of a key for which a restored store has this one and a peer of the claiming router keeps [kept].
     *
     * A completed call was forwarded, so no other attempt was. Otherwise any of the attempts can have been, and the key
     * stays claimed until all of them are given up.
     */
    fun mergedWith(kept: ClaimRecord): ClaimRecord =
        when {
            !isUnfinished -> notBefore(kept)
            !kept.isUnfinished -> kept.notBefore(this)
            else -> notBefore(kept).copy(otherTokens = tokens + kept.tokens - token)
        }

    /** This record, which expires no earlier than [other]. */
    fun notBefore(other: ClaimRecord): ClaimRecord =
        copy(claimedAtMillis = maxOf(claimedAtMillis, other.claimedAtMillis))

    /** The record without the attempt [given], or null if no other may hold the key. */
    fun without(given: String): ClaimRecord? {
        val remaining = tokens - given
        val next = remaining.firstOrNull() ?: return null
        return copy(token = next, otherTokens = remaining - next)
    }

    companion object {
        const val UNFINISHED = 0
    }
}
