package io.limpetfold.measure.moves

import io.limpetfold.rollout.VersionObservation

/** Decides which requests of a simulated fleet go to the new version. */
internal interface MoveStrategy {
    /** Runs one round of background work; called each second. */
    fun maintain()

    /** Chooses the version for one request; the caller passes the result to [record] with the outcome. */
    fun choose(
        router: Int,
        route: Int,
        request: Int,
    ): Choice

    fun record(
        choice: Choice,
        observation: VersionObservation,
    )

    /** Whether the move on [route] completed; false if it was taken back, null while it is in progress. */
    fun hasCompleted(route: Int): Boolean?

    class Choice(
        val router: Int,
        val route: Int,
        val isNew: Boolean,
        val handle: Any? = null,
    )
}
