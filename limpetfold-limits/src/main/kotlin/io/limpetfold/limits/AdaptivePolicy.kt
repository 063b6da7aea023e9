package io.limpetfold.limits

import java.time.Duration

/**
 * Bounds of the adaptive limit of one endpoint.
 *
 * @property latencyFactor a latency above the baseline times this factor reduces the limit.
 * @property latencySlack latencies within this distance of the baseline never reduce it; it covers very short calls.
 * @property decreaseFactor the limit is multiplied by it.
 * @property increase slots added for each limit's worth of answers.
 * @property decreasePause at most one decrease in this time, since requests in flight all show the same overload.
 * @property baselineRise the share by which a slower answer raises the baseline, so that it follows a lasting change.
 */
data class AdaptivePolicy(
    val latencyFactor: Double = 2.0,
    val latencySlack: Duration = Duration.ofMillis(SLACK_MILLIS),
    val decreaseFactor: Double = 0.8,
    val increase: Double = 1.0,
    val decreasePause: Duration = Duration.ofSeconds(1),
    val baselineRise: Double = 0.002,
) {
    private companion object {
        const val SLACK_MILLIS = 20L
    }
}
