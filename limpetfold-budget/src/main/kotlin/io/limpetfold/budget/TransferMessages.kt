package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/**
 * Asks a peer for tokens.
 *
 * @property sender the holder that is asked; another one on its instance gives nothing.
 * @property receiver the holder that asks; it belongs to the asking process.
 * @property seenTotalTokens the highest total of this pair that the asking router has seen.
 */
@Serializable
internal data class TransferRequest(
    val workspace: WorkspaceId,
    val sender: Incarnation,
    val receiver: Incarnation,
    val neededTokens: Long,
    val wantedTokens: Long,
    val seenTotalTokens: Long,
)

/**
 * Answers with the cumulative total of the pair, so that a repeated or late answer credits nothing twice.
 *
 * @property availableTokens what the sender has left, by which the next attempt chooses whom it asks.
 */
@Serializable
internal data class TransferReply(
    val sender: Incarnation,
    val totalTokens: Long,
    val availableTokens: Long,
)

internal val TRANSFER_TOPIC: PeerTopic<TransferRequest, TransferReply> =
    PeerTopic("budget.transfer", TransferRequest.serializer(), TransferReply.serializer())
