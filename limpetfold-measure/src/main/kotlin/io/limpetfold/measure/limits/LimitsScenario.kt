package io.limpetfold.measure.limits

/**
 * What happens in one run; faults begin after a quarter of the run.
 *
 * @property load requests a second in shares of what all slots can serve.
 * @property skew the part of the requests that goes to the first two routers; the rest is spread evenly over all.
 * @property burst requests a second at the first router for 10 s, in shares of what all slots can serve.
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
