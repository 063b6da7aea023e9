package io.limpetfold.rollout.timed

import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * Whether a version was withdrawn, as of the last order that had it as its target.
 *
 * @property position the version of the order's object at which this was known. An order that names the version again has
 *   a later position and begins a new trial.
 * @property overridesEarlierEras whether this also ends a withdrawal that was known before a restore of the store,
 *   because the order is known to be another one, or because the move was completed. Without it an order of a later era
 *   may be the withdrawn one, which the operator has written again.
 */
@Serializable
data class VersionTrial(
    val version: ServiceVersion,
    val position: ObjectVersion,
    val isWithdrawn: Boolean,
    val overridesEarlierEras: Boolean = false,
) {
    /** Whether this replaces [other], a trial of the same version; of equal positions the withdrawal is valid. */
    internal fun isLaterThan(other: VersionTrial): Boolean =
        when {
            mayRepeat(other) -> false
            other.mayRepeat(this) -> true
            position == other.position -> isWithdrawn && !other.isWithdrawn
            else -> position > other.position
        }

    /** Whether this may be the order of [earlier] as it was written again after a restore. */
    private fun mayRepeat(earlier: VersionTrial) =
        position.era > earlier.position.era && !isWithdrawn && !overridesEarlierEras
}
