package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** States that [holder] acquires at most [ceilingTokens] in total until it states a higher ceiling. */
@Serializable
internal data class CeilingAnnouncement(
    val workspace: WorkspaceId,
    val holder: Incarnation,
    val ceilingTokens: Long,
)

/**
 * Responds to a [CeilingAnnouncement].
 *
 * @property process the process that remembers the ceiling.
 * @property holder the key of the responding process's own entry in the ledger; null if it has none.
 */
@Serializable
internal data class CeilingReply(
    val process: Incarnation,
    val holder: String?,
    val isRecorded: Boolean,
)

internal val CEILING_TOPIC: PeerTopic<CeilingAnnouncement, CeilingReply> =
    PeerTopic("budget.ceiling", CeilingAnnouncement.serializer(), CeilingReply.serializer())
