package io.limpetfold.limits

import java.time.Duration

/**
 * The adaptive limit of one endpoint within a router's share: an immutable value that falls on slow responses, refusals
 * and failures and rises on fast responses (AIMD).
 *
 * @property limit slots that may be used; at least 1, so that a recovery of the endpoint can be observed.
 * @property baselineNanos the lowest latency seen, which rises slowly with slower responses; 0 before the first
 * response.
 * @property decreasedAtNanos monotonic time of the last decrease, or null.
 */
internal data class AdaptiveLimit(
    val limit: Double = Double.MAX_VALUE,
    val baselineNanos: Double = 0.0,
    val decreasedAtNanos: Long? = null,
) {
    /** Returns how many of [share] slots may be used; [limit] rounded down. */
    fun within(share: Int): Int = if (share <= 0) 0 else limit.coerceIn(1.0, share.toDouble()).toInt()

    /** Returns the limit after [outcome], which was observed while [inFlight] of [share] slots were in use. */
    fun after(
        outcome: EndpointOutcome,
        inFlight: Int,
        share: Int,
        nowNanos: Long,
        policy: AdaptivePolicy,
    ): AdaptiveLimit =
        when (outcome) {
            is EndpointOutcome.Ignored -> this
            is EndpointOutcome.Overloaded, is EndpointOutcome.Failed -> decreased(share, nowNanos, policy)
            is EndpointOutcome.Responded -> afterResponse(outcome.latency, inFlight, share, nowNanos, policy)
        }

    private fun afterResponse(
        latency: Duration,
        inFlight: Int,
        share: Int,
        nowNanos: Long,
        policy: AdaptivePolicy,
    ): AdaptiveLimit {
        val nanos = latency.toNanos().toDouble()
        val baseline =
            if (baselineNanos == 0.0 || nanos < baselineNanos) {
                nanos
            } else {
                baselineNanos + (nanos - baselineNanos) * policy.baselineRise
            }
        val latencyBoundNanos = maxOf(baseline * policy.latencyFactor, baseline + policy.latencySlack.toNanos())
        val updated = copy(baselineNanos = baseline)
        return if (nanos > latencyBoundNanos) {
            updated.decreased(share, nowNanos, policy)
        } else {
            updated.increased(inFlight, share, policy)
        }
    }

    /**
     * Raises the limit only when at least half of it is in use: responses of an idle endpoint are no evidence for
     * more.
     */
    private fun increased(
        inFlight: Int,
        share: Int,
        policy: AdaptivePolicy,
    ): AdaptiveLimit {
        if (limit >= share || inFlight * 2 < limit) return this
        return copy(limit = limit + policy.increase / limit)
    }

    private fun decreased(
        share: Int,
        nowNanos: Long,
        policy: AdaptivePolicy,
    ): AdaptiveLimit {
        val isTooSoon = decreasedAtNanos != null && nowNanos - decreasedAtNanos < policy.minDecreaseInterval.toNanos()
        if (isTooSoon) return this
        val from = limit.coerceAtMost(share.toDouble())
        return copy(limit = (from * policy.decreaseFactor).coerceAtLeast(1.0), decreasedAtNanos = nowNanos)
    }
}
