package io.limpetfold.ctl.move

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import io.limpetfold.core.RouteId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import kotlinx.coroutines.delay

/** Follows a move until every router has confirmed its outcome. */
internal class WatchMoveCommand :
    MoveCommand("watch", "Follows the move of a route until every router has confirmed its outcome.") {
    private val route by argument(help = "route whose move is followed").check(NAME_RULE) { isName(it) }

    override suspend fun run(session: CtlSession) {
        var printed: MoveLine? = null
        while (true) {
            val record =
                session.moves().read(RouteId(route)).orExit() ?: fail(ExitCode.NOT_FOUND, "route $route has no move")
            val line = MoveLine.of(record, session.clock.instant())
            if (line != printed) {
                printProgress("${session.clock.instant()} ${line.phase}, not confirmed: ${line.unconfirmed ?: "-"}")
            }
            printed = line
            if (record.phase.isFinal && record.unconfirmed?.isEmpty() == true) return show(session, record)
            val nowMillis = session.clock.millis()
            if (record.phaseAt(nowMillis).isFinal && nowMillis - record.endedAtMillis > CONFIRMATION_TIMEOUT_MILLIS) {
                show(session, record)
                fail(
                    ExitCode.NOT_CONFIRMED,
                    "the move has ended, but the listed routers have not confirmed it; check them and the move lease",
                )
            }
            delay(POLL_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val POLL_INTERVAL_MILLIS = 1_000L

        /** Without a move controller no confirmations are gathered; the command must not wait for them forever. */
        const val CONFIRMATION_TIMEOUT_MILLIS = 120_000L
    }
}
