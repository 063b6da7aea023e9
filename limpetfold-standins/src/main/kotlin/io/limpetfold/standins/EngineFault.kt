package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * In which way the engine's version is bad; the conditions must all hold.
 *
 * @property afterRequests requests that are served well first.
 * @property afterSeconds time from the start of the engine, or from the last change of its settings, that is served well.
 * @property aboveRunning the fault shows only with more running requests.
 * @property route the fault shows only for requests with this `X-Limpetfold-Route` header or a path that starts with it; empty for all.
 * @property afterTokens tokens of an answer that are generated before it fails; 0 fails before the answer begins.
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
