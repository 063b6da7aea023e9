package io.limpetfold.rollout.timed

/**
 * An outcome that is to be stored.
 *
 * @property withdrawal why the new version was withdrawn, or null.
 */
data class MoveDecision(
    val order: MoveOrder,
    val outcome: MoveOutcome,
    val withdrawal: String?,
)
