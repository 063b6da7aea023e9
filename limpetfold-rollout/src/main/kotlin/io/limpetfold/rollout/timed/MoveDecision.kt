package io.limpetfold.rollout.timed

/**
 * An outcome that is to be stored.
 *
 * @property withdrawalReason why the new version was withdrawn, or null.
 */
data class MoveDecision(
    val order: MoveOrder,
    val outcome: MoveStatus,
    val withdrawalReason: String?,
)
