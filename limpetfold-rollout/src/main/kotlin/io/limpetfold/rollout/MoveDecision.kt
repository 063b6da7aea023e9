package io.limpetfold.rollout

/** What a controller does with a running move. */
internal sealed interface MoveDecision {
    /** Nothing changes. */
    data object Keep : MoveDecision

    /** Write [next]. */
    data class Write(
        val next: MoveRecord,
    ) : MoveDecision

    /** All steps are done: ask the routers with exposure to agree, then write `Completed`. */
    data object Complete : MoveDecision
}
