package io.limpetfold.limits

import java.time.Duration

/**
 * Parameters of the adaptive limit of one endpoint.
 *
 * @property latencyFactor a latency above the baseline times this factor reduces the limit.
 * @property latencySlack latencies up to this much above the baseline never reduce the limit, so that very short calls
 * are not judged by [latencyFactor] alone.
 * @property decreaseFactor factor by which a decrease multiplies the limit.
 * @property increase slots added after as many responses as the limit has slots.
 * @property minDecreaseInterval least time between two decreases, since all requests in flight show the same overload.
 * @property baselineRise fraction of the difference by which a slower response raises the baseline, so that the
 * baseline follows a lasting change.
 */
data class AdaptivePolicy(
    val latencyFactor: Double = 2.0,
    val latencySlack: Duration = Duration.ofMillis(SLACK_MILLIS),
    val decreaseFactor: Double = 0.8,
    val increase: Double = 1.0,
    val minDecreaseInterval: Duration = Duration.ofSeconds(1),
    val baselineRise: Double = 0.002,
) {
    private companion object {
        const val SLACK_MILLIS = 20L
    }
}
