package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * A fault of the platform stand-in; of the faults whose [pathPrefix] and [method] match a call, the last one applies.
 *
 * @property pathPrefix start of the path, as in `/v1/objects/budget/`.
 * @property method restricts the fault to one method; empty for all.
 * @property probability share of the matching calls that meet the fault, drawn from the seeded random generator.
 * @property kind what happens to the call.
 * @property latencyMillis delay before the effect of [kind], for every kind.
 */
@Serializable
data class FaultSettings(
    val pathPrefix: String = "/v1/",
    val method: String = "",
    val probability: Double = 1.0,
    val kind: Kind = Kind.LATENCY,
    val latencyMillis: Long = 0,
) {
    /** What happens to a call. */
    enum class Kind {
        /** The call is served after its delay. */
        LATENCY,

        /** The call gets a 503 and does not take effect. */
        OUTAGE,

        /** The call takes effect, and the connection is closed without a response. */
        ANSWER_LOST,

        /** The connection is closed before the call takes effect. */
        REQUEST_LOST,
    }

    init {
        require(probability in 0.0..1.0) { "probability $probability is outside 0..1: use a share" }
        require(latencyMillis >= 0) { "latencyMillis is negative: use 0 or more" }
    }
}
