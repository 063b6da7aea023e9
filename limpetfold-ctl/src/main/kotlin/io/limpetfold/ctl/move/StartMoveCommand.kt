package io.limpetfold.ctl.move

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import io.limpetfold.config.DurationSerializer
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.TradeoffPreset
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MovePreset
import io.limpetfold.rollout.MoveRequest
import java.util.UUID

/** Starts a move of a route's traffic. */
internal class StartMoveCommand : MoveCommand("start", "Starts a move of a route's traffic to another version.") {
    private val route by argument(help = "route whose traffic moves").check(NAME_RULE) { isName(it) }
    private val newVersion by option(
        "--to",
        metavar = "VERSION",
    ).required().help("version to move to; it must be configured")
    private val within by option("--within", metavar = "DURATION").required().help("time until the deadline, as in 30m")
    private val id by option(
        "--id",
    ).help("id of the move; retry with the same one after an unknown outcome, so that nothing starts twice")
    private val preset by option("--preset")
        .enum<MovePreset> {
            it.name.lowercase()
        }.help("default is the preset of the route")

    override suspend fun run(session: CtlSession) {
        val duration =
            DurationSerializer.parse(within)
                ?: fail(ExitCode.INVALID_INPUT, "--within '$within' is not a duration; write it as in 30m")
        val config = session.configuration()
        val configured = config.route(RouteId(route)) ?: fail(ExitCode.NOT_FOUND, "route $route is not configured")
        val service = config.service(configured.service)
        if (service?.versions.orEmpty().none { it.version.value == newVersion }) {
            fail(ExitCode.NOT_FOUND, "version $newVersion of ${configured.service} is not configured; publish it first")
        }
        val request =
            MoveRequest(
                MoveId(id ?: UUID.randomUUID().toString().take(SHORT_ID_CHARS)),
                configured.route,
                oldVersion(session, config, configured),
                VersionId(newVersion),
                session.settings.effectiveOperator(),
                session.clock.instant().plus(duration),
                preset ?: configured.moves.toMovePreset(),
            )
        show(session, session.moves().start(request).orExit())
    }

    /** The active version: that of the last move, unless the configuration was published after that move ended. */
    private suspend fun oldVersion(
        session: CtlSession,
        config: FleetConfig,
        route: RouteConfig,
    ): VersionId {
        val last = session.moves().read(route.route).orExit() ?: return route.activeVersion
        val publishedAtMillis = config.publication?.publishedAt?.toEpochMilli() ?: 0
        if (publishedAtMillis > last.endedAtMillis) return route.activeVersion
        return last.effectiveVersionAt(session.clock.millis()) ?: last.oldVersion
    }

    private fun TradeoffPreset.toMovePreset(): MovePreset =
        when (this) {
            TradeoffPreset.AVAILABILITY -> MovePreset.AVAILABILITY
            TradeoffPreset.EXPOSURE -> MovePreset.EXPOSURE
        }

    private companion object {
        const val SHORT_ID_CHARS = 8
    }
}
