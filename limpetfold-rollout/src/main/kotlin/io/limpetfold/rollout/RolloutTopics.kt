package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerTopic
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/** The messages between routers about moves. */
object RolloutTopics {
    /** A verdict, sent by the router that found it; the receiver withdraws before it answers. */
    val VERDICT = PeerTopic("rollout.verdict", Verdict.serializer(), Acknowledgement.serializer())

    /** The controller's question for outcome counts; it carries the moves as the controller read them. */
    val REPORT = PeerTopic("rollout.report", ReportQuery.serializer(), RouterReport.serializer())

    /** Asks a peer for the moves and verdicts that it knows. */
    val MOVES = PeerTopic("rollout.moves", Acknowledgement.serializer(), KnownMoves.serializer())
}

/** An empty message. */
@Serializable
data object Acknowledgement

/** A move and the version of the object at which it was read. */
@Serializable
data class MoveSnapshot(
    val record: MoveRecord,
    val version: ObjectVersion,
)

/** The moves and verdicts known to a router. */
@Serializable
data class KnownMoves(
    val moves: List<MoveSnapshot>,
    val verdicts: List<Verdict>,
)

/**
 * The controller's question.
 *
 * @property completing moves that the controller wants to complete at the version in [moves]; a router without a verdict agrees and then
 *   raises none until it sees a newer version of the move.
 */
@Serializable
data class ReportQuery(
    val moves: List<MoveSnapshot>,
    val completing: Set<MoveId> = emptySet(),
)

/** A router's answer to the controller. */
@Serializable
data class RouterReport(
    val router: Incarnation,
    val moves: List<MoveReport>,
)

/**
 * What a router reports about one move.
 *
 * @property version the object version that the router acts on.
 * @property inForce the phase that the router applies to requests.
 * @property usedRequests requests sent to the new version so far, in all steps.
 * @property requestsPerSecond recent demand on the route.
 * @property outcomesByStep outcomes of the new version per step.
 * @property guard what this router has seen of both versions.
 * @property hasAgreed whether the router agrees to complete the move at [version].
 */
@Serializable
data class MoveReport(
    val move: MoveId,
    val version: ObjectVersion,
    val inForce: MovePhase,
    val usedRequests: Long,
    val requestsPerSecond: Double,
    val outcomesByStep: List<Long>,
    val guard: GuardReport,
    val verdict: Verdict? = null,
    val hasAgreed: Boolean = false,
)
