package io.limpetfold.ctl.move

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import com.github.ajalt.clikt.parameters.arguments.optional
import io.limpetfold.core.RouteId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import kotlinx.serialization.builtins.ListSerializer

/** Shows the latest move of a route, or of all routes. */
internal class MoveStatusCommand : MoveCommand("status", "Shows the latest move of a route, or of all routes.") {
    private val route by argument(help = "default is all routes").optional().check(NAME_RULE) { isName(it) }

    override suspend fun run(session: CtlSession) {
        val now = session.clock.instant()
        val name = route
        val records =
            if (name == null) {
                session.moves().list().orExit()
            } else {
                listOf(
                    session.moves().read(RouteId(name)).orExit() ?: fail(ExitCode.NOT_FOUND, "route $name has no move"),
                )
            }
        show(records.map { MoveLine.of(it, now) }, ListSerializer(MoveLine.serializer()), MoveLine::table)
    }
}
