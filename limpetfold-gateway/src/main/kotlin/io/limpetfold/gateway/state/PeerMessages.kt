package io.limpetfold.gateway.state

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.directory.Endpoint
import io.limpetfold.peer.PeerTopic
import io.limpetfold.quarantine.QuarantineReport
import io.limpetfold.replication.CompressedText
import io.limpetfold.rollout.timed.TimedMoveReport
import io.limpetfold.rollout.timed.VersionTrial
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * Requests a configuration newer than [knownVersion] from a peer.
 *
 * @property acceptsCompressed whether the asker reads [RoutingReply.compressedText]; false in requests of earlier
 * versions.
 */
@Serializable
internal data class RoutingRequest(
    val knownVersion: Long,
    val acceptsCompressed: Boolean = false,
)

/** The peer's configuration in its stored form, as one of the two texts; both are null if the peer has no newer one. */
@Serializable
internal class RoutingReply(
    val text: String?,
    val compressedText: CompressedText? = null,
)

/** Requests the endpoint list of a peer if it is newer than [knownPosition]. */
@Serializable
internal data class EndpointsRequest(
    val knownPosition: ObjectVersion,
)

/** The peer's endpoints as of [position]; [endpoints] is empty if the peer has no newer list. */
@Serializable
internal data class EndpointsReply(
    val position: ObjectVersion,
    val endpoints: List<Endpoint>,
)

/**
 * Reports of [router] on the running moves, and the last trials of versions that it knows; the reply carries those of the
 * receiver.
 */
@Serializable
internal data class MoveReports(
    val router: Incarnation,
    val reports: List<TimedMoveReport>,
    val trials: List<VersionTrial> = emptyList(),
)

/** The limits of calls that a router knows, and those that have ended; the reply carries those of the receiver. */
@Serializable
internal data class CallLimitReports(
    val reports: List<CallLimitReport> = emptyList(),
)

/**
 * What an endpoint said in a response. Times are ages, because routers have no common clock.
 *
 * @property startedAtMillis tells the incarnations of the endpoint apart.
 * @property callsPerSecond null if it takes calls without a limit.
 */
@Serializable
internal data class CallLimitReport(
    val endpoint: EndpointId,
    val startedAtMillis: Long,
    val callsPerSecond: Double?,
    val ageMillis: Long,
)

internal val CALL_LIMITS_TOPIC =
    PeerTopic("gateway.call_limits", CallLimitReports.serializer(), CallLimitReports.serializer())
internal val QUARANTINE_TOPIC =
    PeerTopic("gateway.quarantine", QuarantineReport.serializer(), QuarantineReport.serializer())
internal val MOVES_TOPIC = PeerTopic("gateway.moves", MoveReports.serializer(), MoveReports.serializer())
internal val ROUTING_TOPIC = PeerTopic("gateway.routing", RoutingRequest.serializer(), RoutingReply.serializer())
internal val ENDPOINTS_TOPIC =
    PeerTopic("gateway.endpoints", EndpointsRequest.serializer(), EndpointsReply.serializer())
