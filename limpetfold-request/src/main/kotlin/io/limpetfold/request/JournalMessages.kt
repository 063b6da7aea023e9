package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** Records copied to a peer in one message. */
@Serializable
internal data class JournalBatch(
    val opened: List<OpenedRecord> = emptyList(),
    val closed: List<ClosedRecord> = emptyList(),
)

@Serializable
internal data class JournalStored(
    val count: Int,
)

@Serializable
internal data class JournalQuery(
    val workspace: WorkspaceId,
    val request: RequestId,
)

@Serializable
internal data class JournalFound(
    val entry: JournalEntry? = null,
)

@Serializable
internal data class SpentQuery(
    val holder: Incarnation,
    val workspace: WorkspaceId,
)

@Serializable
internal data class SpentFound(
    val tokens: Long? = null,
)

internal object JournalTopics {
    val COPY = PeerTopic("journal.copy", JournalBatch.serializer(), JournalStored.serializer())
    val FIND = PeerTopic("journal.find", JournalQuery.serializer(), JournalFound.serializer())
    val SPENT = PeerTopic("journal.spent", SpentQuery.serializer(), SpentFound.serializer())
}
