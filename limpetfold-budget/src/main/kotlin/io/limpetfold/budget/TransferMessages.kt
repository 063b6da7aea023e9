package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/**
 * Requests tokens from a peer.
 *
 * @property sender the holder that is asked for tokens; another holder of its instance sends none.
 * @property receiver the holder that requests tokens; it belongs to the requesting process.
 * @property neededTokens the tokens that the receiver needs at once.
 * @property wantedTokens the tokens that the receiver needs for its demand, at least [neededTokens].
 * @property seenTotalTokens the highest total of this pair that the receiver has seen.
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
 * Responds to a [TransferRequest] with the cumulative total of the pair, so that a repeated or late response credits
 * nothing twice.
 *
 * @property availableTokens the available tokens of the sender, by which the receiver orders its later requests to
 * peers.
 */
@Serializable
internal data class TransferReply(
    val sender: Incarnation,
    val totalTokens: Long,
    val availableTokens: Long,
)

internal val TRANSFER_TOPIC: PeerTopic<TransferRequest, TransferReply> =
    PeerTopic("budget.transfer", TransferRequest.serializer(), TransferReply.serializer())
