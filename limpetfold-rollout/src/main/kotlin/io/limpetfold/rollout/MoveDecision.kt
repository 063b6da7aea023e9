package io.limpetfold.rollout

/** The next action of a controller on a running move. */
internal sealed interface MoveDecision {
    /** Leave the move unchanged. */
    data object Keep : MoveDecision

    /** Write [next]. */
    data class Write(
        val next: MoveRecord,
    ) : MoveDecision

    /** All steps are done: ask the routers with exposure to agree, and write `Completed` if they do. */
    data object Complete : MoveDecision
}
