package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId
import io.limpetfold.rollout.MoveSide

/**
 * The version chosen for one call.
 *
 * @property target the new version of the move; an endpoint of any other version is old.
 * @property isWithdrawn the new version was found worse, so that it gets no call even when no old endpoint is left.
 */
data class TimedVersionChoice(
    val service: String,
    val target: VersionId,
    val side: MoveSide,
    val isWithdrawn: Boolean,
) {
    /** The choice as it is when an endpoint of [version] serves the call, which may be one of the other side. */
    fun withServedVersion(version: VersionId): TimedVersionChoice = copy(side = if (version == target) MoveSide.NEW else MoveSide.OLD)
}
