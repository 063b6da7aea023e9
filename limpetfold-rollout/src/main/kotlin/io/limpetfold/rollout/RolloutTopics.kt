package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerTopic
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The topics of the messages between routers about moves. */
object RolloutTopics {
    /** Sends a verdict to a peer, which withdraws the new version before it acknowledges. */
    val VERDICT = PeerTopic("rollout.verdict", Verdict.serializer(), Acknowledgement.serializer())

    /** The controller's query for reports; it carries the moves as the controller read them. */
    val REPORT = PeerTopic("rollout.report", ReportQuery.serializer(), RouterReport.serializer())

    /** Requests the moves and verdicts that a peer knows. */
    val MOVES = PeerTopic("rollout.moves", Acknowledgement.serializer(), KnownMoves.serializer())
}

/** An empty message, used as a response and as a request without parameters. */
@Serializable
data object Acknowledgement

/** A move and the version of the object at which it was read. */
@Serializable
data class MoveSnapshot(
    val record: MoveRecord,
    val version: ObjectVersion,
) {
    /** Whether the store was restored since the running phase was written, so that later writes may be missing. */
    val isRestored: Boolean get() = record.phase is MovePhase.Running && record.era?.let { it < version.era } == true

    /** Whether a restore of the store took this back, if the store holds [stored] now. */
    internal fun isRevertedByRestoreTo(stored: MoveSnapshot): Boolean =
        version.era < stored.version.era && record.isRevertedByRestoreTo(stored.record)
}

/** The moves and verdicts known to a router. */
@Serializable
data class KnownMoves(
    val moves: List<MoveSnapshot>,
    val verdicts: List<Verdict>,
)

/**
 * The controller's query to a router.
 *
 * @property completing moves that the controller is about to complete at the version in [moves]; a router without a
 *   verdict agrees, and then raises none until it receives a newer version of the move.
 * @property era the era of the store in which [moves] were read.
 */
@Serializable
data class ReportQuery(
    val moves: List<MoveSnapshot>,
    val completing: Set<MoveId> = emptySet(),
    val era: Long = 0,
)

/**
 * A router's response to a [ReportQuery].
 *
 * @property lostMoves moves that the router read before a restore of the store and that the queried ones do not replace.
 */
@Serializable
data class RouterReport(
    val router: Incarnation,
    val moves: List<MoveReport>,
    val lostMoves: List<MoveSnapshot> = emptyList(),
)

/**
 * What a router reports about one move.
 *
 * @property version the object version that the router acts on.
 * @property effectivePhase the phase that the router applies to requests: rolled back as soon as it knows a verdict.
 * @property usedRequests requests sent to the new version so far, in all steps.
 * @property requestsPerSecond recent demand on the route.
 * @property outcomesByStep outcomes of the new version per step.
 * @property guard outcomes and evidence that this router has recorded of both versions.
 * @property hasLostGrants whether a restore of the store took back grants that the router had received.
 * @property hasAgreed whether the router agrees to complete the move at [version].
 */
@Serializable
data class MoveReport(
    val move: MoveId,
    val version: ObjectVersion,
    @SerialName("inForce")
    val effectivePhase: MovePhase,
    val usedRequests: Long,
    val requestsPerSecond: Double,
    val outcomesByStep: List<Long>,
    val guard: GuardReport,
    val verdict: Verdict? = null,
    val hasAgreed: Boolean = false,
    val hasLostGrants: Boolean = false,
)
