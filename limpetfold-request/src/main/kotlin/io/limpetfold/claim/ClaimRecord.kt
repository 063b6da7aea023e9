package io.limpetfold.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One claimed key inside a [ClaimShard]. The stored names are short because a shard holds thousands of records.
 *
 * @property token unique for each attempt to claim, so that only the router that made the attempt recognises it.
 * @property claimedAtMillis wall time of the claim, for expiry.
 * @property status HTTP status of the completed call, or 0 while no response is recorded.
 */
@Serializable
internal data class ClaimRecord(
    @SerialName("k") val token: String,
    @SerialName("t") val claimedAtMillis: Long,
    @SerialName("s") val status: Int = UNFINISHED,
) {
    val isUnfinished: Boolean get() = status == UNFINISHED

    companion object {
        const val UNFINISHED = 0
    }
}
