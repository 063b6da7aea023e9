package io.limpetfold.rollout

import io.limpetfold.core.RouteId
import io.limpetfold.store.StoreError
import java.time.Instant

/** Why a command on a move had no effect. */
sealed interface MoveError {
    val message: String

    /** Another move runs on the route; [operator] started it at [since]. */
    data class AlreadyRunning(
        val move: MoveId,
        val operator: String,
        val since: Instant,
    ) : MoveError {
        override val message
            get() =
                "move $move, started by $operator at $since, runs on this route; take it back or wait until it ends"
    }

    /** The move has ended; [endedBy] wrote [phase] at [endedAt]. */
    data class AlreadyEnded(
        val move: MoveId,
        val phase: MovePhase,
        val endedBy: String,
        val endedAt: Instant,
    ) : MoveError {
        override val message
            get() =
                "$endedBy ended move $move as $phase at $endedAt; start another move to change the version"
    }

    /** The route has no move, or its latest move has another id. */
    data class NotFound(
        val route: RouteId,
    ) : MoveError {
        override val message get() = "route $route has no move with this id; list the moves to find its latest one"
    }

    /** The command is invalid; [reason] names the problem and the remedy. */
    data class Invalid(
        val reason: String,
    ) : MoveError {
        override val message get() = reason
    }

    /** The platform failed; see [error] for whether the command may have taken effect. */
    data class Store(
        val error: StoreError,
    ) : MoveError {
        override val message get() = error.message
    }
}
