package io.limpetfold.rollout.timed

/**
 * An outcome that is to be stored.
 *
 * @property withdrawalReason why the new version was withdrawn, or null.
 */
data class TimedMoveDecision(
    val order: MoveOrder,
    val status: MoveStatus,
    val withdrawalReason: String?,
)
