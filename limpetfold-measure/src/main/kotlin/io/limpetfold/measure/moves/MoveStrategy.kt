package io.limpetfold.measure.moves

import io.limpetfold.rollout.VersionObservation

/** Decides which requests of a simulated fleet go to the new version. */
internal interface MoveStrategy {
    /** Performs one second's background work. */
    fun maintain()

    /** Chooses for one request; the result is passed back to [record]. */
    fun choose(
        router: Int,
        route: Int,
        request: Int,
    ): Choice

    fun record(
        choice: Choice,
        observation: VersionObservation,
    )

    /** The outcome of the move on [route]; null while it runs. */
    fun hasCompleted(route: Int): Boolean?

    class Choice(
        val router: Int,
        val route: Int,
        val isNew: Boolean,
        val handle: Any? = null,
    )
}
