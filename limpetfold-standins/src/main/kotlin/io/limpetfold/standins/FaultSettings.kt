package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * A fault of the platform stand-in; the last one whose [pathPrefix] and [method] match a call decides.
 *
 * @property pathPrefix start of the path, as in `/v1/objects/budget/`.
 * @property method restricts the fault to one method; empty for all.
 * @property probability share of the calls that meet it, drawn from the seeded generator.
 * @property kind what happens.
 * @property latencyMillis delay before anything else, for every kind.
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
        /** The call works after its delay. */
        LATENCY,

        /** The call gets a 503 and does not take effect. */
        OUTAGE,

        /** The call takes effect and the connection is closed without an answer. */
        ANSWER_LOST,

        /** The connection is closed before the call takes effect. */
        REQUEST_LOST,
    }

    init {
        require(probability in 0.0..1.0) { "probability $probability is outside 0..1: use a share" }
        require(latencyMillis >= 0) { "latencyMillis is negative: use 0 or more" }
    }
}
