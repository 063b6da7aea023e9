package io.limpetfold.measure.limits

/**
 * The load and the faults of one run. Faults begin after a quarter of the run.
 *
 * @property load requests per second, as a fraction of the rate that all slots can serve.
 * @property skew fraction of the requests that goes to the first two routers; the others are spread over all routers.
 * @property burst additional requests per second at the first router for 10 s, as a fraction of the rate that all slots
 *   can serve.
 */
internal enum class LimitsScenario(
    val title: String,
    val load: Double = 0.6,
    val skew: Double = 0.0,
    val burst: Double = 0.0,
    val isPartitioned: Boolean = false,
    val isReplaced: Boolean = false,
    val isKilled: Boolean = false,
) {
    STEADY("even load"),
    SKEWED("60 in 100 requests at two routers", skew = 0.6),
    BURST("burst at one router", load = 0.4, burst = 0.5),
    PARTITION("half cut off from half, even load", isPartitioned = true),
    SKEWED_PARTITION("half cut off from half, 60 in 100 at two routers", skew = 0.6, isPartitioned = true),
    REPLACED("planned leave, replacement joins", isReplaced = true),
    KILLED("crash, same instance starts again", isKilled = true),
}
