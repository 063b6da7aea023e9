package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** A batch of records that are copied to a peer in one message. */
@Serializable
internal data class JournalBatch(
    val opened: List<OpenedRecord> = emptyList(),
    val closed: List<ClosedRecord> = emptyList(),
)

/** Confirms that a peer stored [count] records. */
@Serializable
internal data class JournalAcknowledgement(
    val count: Int,
)

/** Asks a peer for its entry of a request. */
@Serializable
internal data class JournalQuery(
    val workspace: WorkspaceId,
    val request: RequestId,
)

/** The peer's entry, or null when it has none. */
@Serializable
internal data class JournalQueryResponse(
    val entry: JournalEntry? = null,
)

/** Asks a peer for the largest cumulative spend of [holder] that it knows. */
@Serializable
internal data class SpentQuery(
    val holder: Incarnation,
    val workspace: WorkspaceId,
)

/** The largest cumulative spend that the peer knows, or null when it knows none. */
@Serializable
internal data class SpentQueryResponse(
    val tokens: Long? = null,
)

internal object JournalTopics {
    val COPY = PeerTopic("journal.copy", JournalBatch.serializer(), JournalAcknowledgement.serializer())
    val FIND = PeerTopic("journal.find", JournalQuery.serializer(), JournalQueryResponse.serializer())
    val SPENT = PeerTopic("journal.spent", SpentQuery.serializer(), SpentQueryResponse.serializer())
}
