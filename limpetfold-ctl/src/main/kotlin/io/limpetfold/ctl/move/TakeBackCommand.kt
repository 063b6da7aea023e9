package io.limpetfold.ctl.move

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import io.limpetfold.core.RouteId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode

/** Takes the running move of a route back. */
internal class TakeBackCommand :
    MoveCommand("take-back", "Takes the running move of a route back to the old version.") {
    private val route by argument(help = "route whose move is taken back").check(NAME_RULE) { isName(it) }

    override suspend fun run(session: CtlSession) {
        val id = RouteId(route)
        val running = session.moves().read(id).orExit() ?: fail(ExitCode.NOT_FOUND, "route $route has no move")
        show(session, session.moves().takeBack(id, running.id, session.settings.effectiveOperator()).orExit())
    }
}
