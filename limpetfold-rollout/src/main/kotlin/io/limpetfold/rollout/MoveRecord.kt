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
 * Each write while the phase is running enters the next step or increases [grants], [weight] or [fencing], so no two of
 * these versions have equal content. [grants], [allottedRequests] and [fencing] never decrease.
 *
 * @property operator the operator who started the move.
 * @property fencing fencing token of the controller that last changed the move.
 * @property weight share of requests for the new version in this step.
 * @property allottedRequests cumulative allotment up to this step; the sum of [grants] never exceeds it.
 * @property stepAllottedRequests the part of [allottedRequests] that this step added.
 * @property grants cumulative number of requests that each router incarnation may send to the new version; the grant
 *   of a terminated router still counts.
 * @property changedBy operator or controller that wrote the current phase, at [changedAtMillis].
 * @property era the era of the store in which the write of the running phase was based; in a later era the store may lack
 *   writes that followed, so that [grants] bounds nothing. Null in records of earlier versions of the program.
 * @property unconfirmed routers that have not confirmed the final phase; null until a controller has checked.
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
    val era: Long? = null,
) {
    /** The time from which `Completed` is no longer written. */
    val completionLimitMillis: Long
        get() = deadlineMillis - MovePlan.PROPAGATION_BOUND.toMillis() - MovePlan.WRITE_BOUND.toMillis()

    /** Returns the effective phase: a move that is still running at its deadline counts as rolled back. */
    fun phaseAt(nowMillis: Long): MovePhase =
        if (phase is MovePhase.Running &&
            nowMillis >= deadlineMillis
        ) {
            MovePhase.TakenBack(TakeBackReason.DeadlinePassed)
        } else {
            phase
        }

    /** Returns the version that the ended move made active; null while it runs. */
    fun effectiveVersionAt(nowMillis: Long): VersionId? =
        when (phaseAt(nowMillis)) {
            is MovePhase.Running -> null
            MovePhase.Completed -> newVersion
            is MovePhase.TakenBack -> oldVersion
        }

    /** When the move ended; without a final phase, its deadline. */
    val endedAtMillis: Long get() = if (phase.isFinal) changedAtMillis else deadlineMillis

    /**
     * Whether a restore of the store took this record back, if it holds [stored] now: an earlier move of the route, or
     * this one before its end or with a completion in place of this rollback.
     */
    fun isRevertedByRestoreTo(stored: MoveRecord): Boolean =
        when {
            id != stored.id -> startedAtMillis > stored.startedAtMillis
            phase is MovePhase.TakenBack -> stored.phase !is MovePhase.TakenBack
            else -> phase.isFinal && !stored.phase.isFinal
        }

    /** Returns the cumulative number of requests that [router] may send to the new version. */
    fun granted(router: Incarnation): Long = grants[router.key] ?: 0

    companion object {
        /** The key prefix of all moves. */
        const val PREFIX = "move/"

        /** Returns the key of the move of [route]. */
        fun key(route: RouteId): ObjectKey = ObjectKey(PREFIX + route.value)
    }
}
