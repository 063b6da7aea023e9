package io.limpetfold.membership

import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** Asks a peer for its last copy of the platform's list. */
@Serializable
internal data object DirectoryRequest

/** A copy of the platform's list; empty when the sender has none. */
@Serializable
internal data class DirectoryResponse(
    val instances: List<ListedInstance>,
)

internal val HEARTBEAT_TOPIC = PeerTopic("membership.heartbeat", Heartbeat.serializer(), Heartbeat.serializer())
internal val DIRECTORY_TOPIC =
    PeerTopic("membership.directory", DirectoryRequest.serializer(), DirectoryResponse.serializer())
