package io.limpetfold.claim

import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** Asks a peer to keep [claims]; [outcomes] tells how claims that it may keep ended. */
@Serializable
internal data class ClaimCopies(
    val claims: List<ClaimCopy> = emptyList(),
    val outcomes: List<ClaimOutcome> = emptyList(),
)

/**
 * A claim that a peer keeps.
 *
 * @property era the era of the store in which the record is written, or the last one in which it was.
 */
@Serializable
internal data class ClaimCopy(
    val shard: Int,
    val hash: String,
    val record: ClaimRecord,
    val era: Long,
)

/**
 * How a claim ended.
 *
 * @property status HTTP status of the completed call, or [ClaimRecord.UNFINISHED] if the claim is given up.
 */
@Serializable
internal data class ClaimOutcome(
    val shard: Int,
    val token: String,
    val status: Int = ClaimRecord.UNFINISHED,
)

/**
 * Confirms that the peer keeps all claims of the message if [isKept].
 *
 * @property era the latest era of the store that the peer knows.
 */
@Serializable
internal data class ClaimCopiesReply(
    val era: Long,
    val isKept: Boolean,
)

internal object WitnessTopics {
    val COPY = PeerTopic("claim.copy", ClaimCopies.serializer(), ClaimCopiesReply.serializer())
}
