package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.FencingToken
import io.limpetfold.store.ObjectKey
import kotlinx.serialization.Serializable

/**
 * The state of a move as stored in `move/<route>`.
 *
 * While the phase is running, [grants], [allottedRequests], [weight] and [fencing] only grow, so no two versions have equal content.
 *
 * @property operator who started the move.
 * @property fencing number of the controller that last changed the move.
 * @property weight share of requests for the new version in this step.
 * @property allottedRequests cumulative allotment up to this step; the sum of [grants] never exceeds it.
 * @property stepAllottedRequests the part of [allottedRequests] that this step added.
 * @property grants cumulative requests that each router incarnation may send to the new version; a dead router's grant stays counted.
 * @property changedBy operator or controller that wrote the current phase, at [changedAtMillis].
 * @property unconfirmed routers that have not confirmed the final phase; null until it was gathered.
 */
@Serializable
data class MoveRecord(
    val id: MoveId,
    val route: RouteId,
    val oldVersion: VersionId,
    val newVersion: VersionId,
    val operator: String,
    val startedAtMillis: Long,
    val deadlineMillis: Long,
    val plan: MovePlan,
    val phase: MovePhase,
    val changedBy: String,
    val changedAtMillis: Long,
    val fencing: FencingToken = FencingToken.NONE,
    val stepStartedAtMillis: Long = startedAtMillis,
    val weight: Double = plan.steps.first().weight,
    val allottedRequests: Long = plan.steps.first().allottedRequests,
    val stepAllottedRequests: Long = allottedRequests,
    val grants: Map<String, Long> = emptyMap(),
    val unconfirmed: List<InstanceId>? = null,
) {
    /** The last instant at which a write of `Completed` may be sent. */
    val completionLimitMillis: Long
        get() = deadlineMillis - MovePlan.PROPAGATION.toMillis() - MovePlan.WRITE_BOUND.toMillis()

    /** The phase as every reader takes it: running after the deadline means rolled back. */
    fun phaseAt(nowMillis: Long): MovePhase =
        if (phase is MovePhase.Running && nowMillis >= deadlineMillis) MovePhase.TakenBack(TakeBackReason.DeadlinePassed) else phase

    /** The version that the ended move put in force; null while it runs. */
    fun effectiveVersionAt(nowMillis: Long): VersionId? =
        when (phaseAt(nowMillis)) {
            is MovePhase.Running -> null
            MovePhase.Completed -> newVersion
            is MovePhase.TakenBack -> oldVersion
        }

    /** When the move ended; a move that nobody ended counts as ended at its deadline. */
    val endedAtMillis: Long get() = if (phase.isFinal) changedAtMillis else deadlineMillis

    /** The requests that [router] may send to the new version. */
    fun granted(router: Incarnation): Long = grants[router.key] ?: 0

    companion object {
        /** The prefix of all moves. */
        const val PREFIX = "move/"

        /** Returns where the move of [route] is stored. */
        fun key(route: RouteId): ObjectKey = ObjectKey(PREFIX + route.value)
    }
}
