package io.limpetfold.rollout.timed

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.rollout.GuardReport
import kotlinx.serialization.Serializable

/**
 * What one router tells the others about a running move.
 *
 * @property elapsedMillis time since the router first saw the order; the longest time of all routers counts.
 * @property runningOld calls that run at the old version.
 * @property newOutcomes answers and failures of the new version.
 * @property isWithdrawn the router found the new version worse; no router sends to it any more.
 * @property guards what was seen on each route.
 */
@Serializable
data class TimedMoveReport(
    val service: String,
    val target: VersionId,
    val elapsedMillis: Long,
    val runningOld: Int,
    val newOutcomes: Long,
    val isWithdrawn: Boolean,
    val guards: Map<RouteId, GuardReport>,
)
