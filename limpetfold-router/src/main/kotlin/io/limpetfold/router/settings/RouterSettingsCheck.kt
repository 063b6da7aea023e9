package io.limpetfold.router.settings

import io.limpetfold.config.ConfigProblem
import io.limpetfold.peer.ktor.FleetKey

/** Checks constraints that the types and annotations of [RouterSettings] can't express. */
internal object RouterSettingsCheck {
    private const val MIN_KEY_CHARS = 16

    /** Returns all problems, not only the first one. */
    fun problems(settings: RouterSettings): List<ConfigProblem> =
        buildList {
            if (settings.peers.seedsOrNull() == null) {
                add(ConfigProblem("peers.seeds", "has a malformed entry", "write it as router-1@zone-a=10.0.0.1:7300"))
            }
            if (settings.peers.key.length < FleetKey.MIN_CHARS) {
                add(ConfigProblem("peers.key", "is too short", "use at least ${FleetKey.MIN_CHARS} random characters"))
            }
            if (settings.operators.key.length < MIN_KEY_CHARS) {
                add(ConfigProblem("operators.key", "is too short", "use at least $MIN_KEY_CHARS random characters"))
            }
            val ports = listOf(settings.callers.port, settings.operators.port, settings.peers.port).filter { it != 0 }
            if (ports.distinct().size != ports.size) {
                add(
                    ConfigProblem(
                        "callers.port",
                        "is used twice",
                        "give callers, operators and peers ports of their own",
                    ),
                )
            }
        }
}
