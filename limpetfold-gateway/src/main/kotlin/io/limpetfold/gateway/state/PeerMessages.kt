package io.limpetfold.gateway.state

import io.limpetfold.core.Incarnation
import io.limpetfold.directory.Endpoint
import io.limpetfold.peer.PeerTopic
import io.limpetfold.rollout.timed.TimedMoveReport
import kotlinx.serialization.Serializable

/** Asks a peer for a configuration above [knownVersion]. */
@Serializable
internal data class RoutingRequest(
    val knownVersion: Long,
)

/** The stored form of the peer's configuration; null when it has no newer one. */
@Serializable
internal data class RoutingReply(
    val text: String?,
)

/** Asks a peer for its endpoint list if that is above [knownPosition]. */
@Serializable
internal data class EndpointsRequest(
    val knownPosition: Long,
)

/** The peer's endpoints as of [position]; empty when it has no newer list. */
@Serializable
internal data class EndpointsReply(
    val position: Long,
    val endpoints: List<Endpoint>,
)

/** What [router] saw of the running moves; the reply carries the receiver's. */
@Serializable
internal data class MoveReports(
    val router: Incarnation,
    val reports: List<TimedMoveReport>,
)

internal val MOVES_TOPIC = PeerTopic("gateway.moves", MoveReports.serializer(), MoveReports.serializer())
internal val ROUTING_TOPIC = PeerTopic("gateway.routing", RoutingRequest.serializer(), RoutingReply.serializer())
internal val ENDPOINTS_TOPIC = PeerTopic("gateway.endpoints", EndpointsRequest.serializer(), EndpointsReply.serializer())
