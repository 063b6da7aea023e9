package io.limpetfold.ctl.move

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.rollout.MoveCommands
import io.limpetfold.rollout.MoveError
import io.limpetfold.rollout.MoveRecord

/** A command that reads or changes moves. */
internal abstract class MoveCommand(
    name: String,
    helpText: String,
) : SessionCommand(name, helpText) {
    protected fun CtlSession.moves() = MoveCommands(store, clock)

    /** Returns the value or ends the program with the exit code and the message of the error. */
    protected fun <T> Result<T, MoveError>.orExit(): T =
        getOrElse { error ->
            val code =
                when (error) {
                    is MoveError.AlreadyRunning, is MoveError.AlreadyEnded -> ExitCode.REFUSED
                    is MoveError.NotFound -> ExitCode.NOT_FOUND
                    is MoveError.Invalid -> ExitCode.INVALID_INPUT
                    is MoveError.Store -> ExitCode.PLATFORM_UNAVAILABLE
                }
            val message =
                if (error is MoveError.AlreadyEnded) {
                    val phase = MoveLine.describe(error.phase, 0)
                    "${error.endedBy} ended move ${error.move} at ${error.endedAt}: $phase"
                } else {
                    error.message
                }
            fail(code, message)
        }

    protected fun show(
        session: CtlSession,
        record: MoveRecord,
    ) = show(MoveLine.of(record, session.clock.instant()), MoveLine.serializer()) { MoveLine.table(listOf(it)) }
}
