package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId
import io.limpetfold.rollout.MoveSide

/**
 * The version chosen for one call.
 *
 * @property target the new version of the move; an endpoint of any other version is old.
 * @property isWithdrawn whether the new version was withdrawn; it then gets no call even when no old endpoint is left.
 */
data class TimedVersionChoice(
    val service: String,
    val target: VersionId,
    val side: MoveSide,
    val isWithdrawn: Boolean,
) {
    /** Returns the choice with the side of [version], the version whose endpoint actually serves the call. */
    fun withServedVersion(version: VersionId): TimedVersionChoice =
        copy(
            side =
                if (version == target) {
                    MoveSide.NEW
                } else {
                    MoveSide.OLD
                },
        )
}
