package io.limpetfold.rollout.timed

import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * Whether a version was withdrawn, as of the last order that had it as its target.
 *
 * @property position the version of the order's object at which this was known. An order that names the version again has
 *   a later position and begins a new trial.
 */
@Serializable
data class VersionTrial(
    val version: ServiceVersion,
    val position: ObjectVersion,
    val isWithdrawn: Boolean,
) {
    /** Whether this replaces [other], a trial of the same version; of equal positions the withdrawal is valid. */
    internal fun isLaterThan(other: VersionTrial): Boolean =
        position > other.position || (position == other.position && isWithdrawn && !other.isWithdrawn)
}
