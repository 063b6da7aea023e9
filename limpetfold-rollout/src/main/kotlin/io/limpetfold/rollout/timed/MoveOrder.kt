package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId
import io.limpetfold.store.ObjectVersion
import java.time.Duration

/**
 * An operator's order to move all calls of a service to the endpoints of one version within a duration.
 *
 * @property status the last stored status of the move to [target]; null before the first one.
 * @property objectVersion the version of the object that holds the order, for a conditional write of the status.
 * @property previous the move whose status the object still holds, until the first status of this one is stored.
 */
data class MoveOrder(
    val service: String,
    val target: VersionId,
    val duration: Duration,
    val status: MoveStatus?,
    val objectVersion: ObjectVersion,
    val previous: PreviousMove? = null,
) {
    /** The final outcome as stored with this order; null while there is none. */
    internal val storedOutcome: MoveOutcome? get() =
        status?.takeIf { it.isFinal }?.let { MoveOutcome(it, objectVersion) }

    /**
     * Whether this is [other] as a store holds it that was restored since [other] was read: the operator writes the same
     * order again, and its versions tell nothing about that.
     */
    internal fun isRestored(other: MoveOrder): Boolean =
        objectVersion.era > other.objectVersion.era &&
            service == other.service &&
            target == other.target &&
            duration == other.duration
}
