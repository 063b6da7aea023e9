package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * The fault of a bad engine version; it applies to a request when all conditions hold.
 *
 * @property afterRequests number of requests that are served without the fault first.
 * @property afterSeconds time without the fault after the start of the engine or the last change of its settings.
 * @property aboveRunning number of running requests, without the new one, from which the fault applies.
 * @property route restricts the fault to requests whose `X-Limpetfold-Route` header is this, or whose path starts with
 *   it; empty for all.
 * @property afterTokens tokens generated before a response fails; 0 fails before the response begins.
 * @property slowFactor factor on the time of a token under [Kind.SLOW].
 */
@Serializable
data class EngineFault(
    val kind: Kind = Kind.NONE,
    val afterRequests: Int = 0,
    val afterSeconds: Double = 0.0,
    val aboveRunning: Int = 0,
    val route: String = "",
    val afterTokens: Int = 0,
    val slowFactor: Double = 10.0,
) {
    /** What goes wrong. */
    enum class Kind { NONE, FAIL, SLOW }
}
