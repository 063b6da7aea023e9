package io.limpetfold.rollout.timed

/**
 * A status to store for an ordered move.
 *
 * @property order the order at the version on which the decision was made.
 * @property withdrawalReason why the new version was withdrawn; null if it was not.
 */
data class TimedMoveDecision(
    val order: MoveOrder,
    val status: MoveStatus,
    val withdrawalReason: String?,
)
