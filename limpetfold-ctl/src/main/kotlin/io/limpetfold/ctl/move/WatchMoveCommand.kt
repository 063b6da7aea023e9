package io.limpetfold.ctl.move

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import io.limpetfold.core.RouteId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import kotlinx.coroutines.delay

/** Follows a move until its outcome is in force on every router. */
internal class WatchMoveCommand :
    MoveCommand("watch", "Follows the move of a route until every router has confirmed its outcome.") {
    private val route by argument(help = "route whose move is followed").check(NAME_RULE) { isName(it) }

    override suspend fun run(session: CtlSession) {
        var shown: MoveLine? = null
        while (true) {
            val record = session.moves().read(RouteId(route)).orRefuse() ?: fail(ExitCode.NOT_FOUND, "route $route has no move")
            val line = MoveLine.of(record, session.clock.instant())
            if (line != shown) progress("${session.clock.instant()} ${line.phase}, not confirmed: ${line.unconfirmed ?: "-"}")
            shown = line
            if (record.phase.isFinal && record.unconfirmed?.isEmpty() == true) return show(session, record)
            val nowMillis = session.clock.millis()
            if (record.phaseAt(nowMillis).isFinal && nowMillis - record.endedAtMillis > CONFIRM_WITHIN_MILLIS) {
                show(session, record)
                fail(ExitCode.NOT_CONFIRMED, "the move has ended, and the routers named have not confirmed it; check them and the move lease")
            }
            delay(POLL_MILLIS)
        }
    }

    private companion object {
        const val POLL_MILLIS = 1_000L

        /** Without a controller nobody gathers confirmations, and the command must not wait for them for ever. */
        const val CONFIRM_WITHIN_MILLIS = 120_000L
    }
}
