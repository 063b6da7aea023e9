package io.limpetfold.rollout.timed

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.rollout.GuardReport
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one router reports to the others about a running move.
 *
 * @property elapsedMillis time since the start of the move as this router knows it; each router adopts the longest time
 *   that it receives.
 * @property oldCallsInFlight calls in flight to the old version.
 * @property newOutcomes successes and failures of the new version.
 * @property isWithdrawn whether the new version was withdrawn; every router that receives this stops sending to it.
 * @property guards the outcomes and evidence of each route.
 * @property outcome the final outcome that the store is known to have held; null without one.
 * @property orderVersion the version at which this router knows the order.
 * @property durationMillis the ordered duration of the move.
 */
@Serializable
data class TimedMoveReport(
    val service: String,
    val target: VersionId,
    val elapsedMillis: Long,
    @SerialName("runningOld")
    val oldCallsInFlight: Int,
    val newOutcomes: Long,
    val isWithdrawn: Boolean,
    val guards: Map<RouteId, GuardReport>,
    val outcome: MoveOutcome? = null,
    val orderVersion: ObjectVersion = ObjectVersion.NONE,
    val durationMillis: Long = 0,
)
