package io.limpetfold.rollout.timed

import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * A final status that the store held.
 *
 * @property version the version of the order's object at which the status was read or written.
 */
@Serializable
data class MoveOutcome(
    val status: MoveStatus,
    val version: ObjectVersion,
)
