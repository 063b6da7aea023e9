package io.limpetfold.limits

import java.time.Duration

/**
 * The adaptive limit of one endpoint within a router's share: a pure value.
 *
 * @property limit slots that may be used; at least 1, so that recovery can be seen.
 * @property baselineNanos the lowest latency seen, which rises slowly; 0 before the first answer.
 * @property decreasedAtNanos monotonic time of the last decrease, or null.
 */
internal data class AdaptiveLimit(
    val limit: Double = Double.MAX_VALUE,
    val baselineNanos: Double = 0.0,
    val decreasedAtNanos: Long? = null,
) {
    /** Returns the whole slots that may be used out of [share]. */
    fun within(share: Int): Int = if (share <= 0) 0 else limit.coerceIn(1.0, share.toDouble()).toInt()

    /** Returns the limit after [outcome], made while [inFlight] of [share] slots were used. */
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
            is EndpointOutcome.Answered -> answered(outcome.latency, inFlight, share, nowNanos, policy)
        }

    private fun answered(
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
        val bound = maxOf(baseline * policy.latencyFactor, baseline + policy.latencySlack.toNanos())
        val followed = copy(baselineNanos = baseline)
        return if (nanos > bound) {
            followed.decreased(share, nowNanos, policy)
        } else {
            followed.increased(inFlight, share, policy)
        }
    }

    /** An idle endpoint's limit must not grow without evidence, so only answers near the limit raise it. */
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
        val isTooSoon = decreasedAtNanos != null && nowNanos - decreasedAtNanos < policy.decreasePause.toNanos()
        if (isTooSoon) return this
        val from = limit.coerceAtMost(share.toDouble())
        return copy(limit = (from * policy.decreaseFactor).coerceAtLeast(1.0), decreasedAtNanos = nowNanos)
    }
}
