package io.limpetfold.rollout

import java.time.Duration
import kotlin.math.ln

/**
 * Compares the new version of one move on one route with the old one, from the outcomes that one router sees.
 *
 * Failures and each kind of duration have a [SequentialComparison] of their own. A duration is bad when it exceeds a threshold learned from
 * the old version. The guard's share of the plan's error rate is divided over the metrics and over the plan's number of guards, so the
 * probability that any of them withdraws a version that is no worse stays below half the plan's error rate.
 *
 * Not safe for concurrent use.
 */
internal class VersionGuard(
    plan: MovePlan,
    private val durations: Map<GuardMetric, DurationWindow>,
) {
    private val comparisons =
        GuardMetric.entries.associateWith { metric ->
            SequentialComparison(if (metric == GuardMetric.FAILURES) PRIOR_FAILURE_SHARE else PRIOR_SLOW_SHARE)
        }
    private val limit = ln(2.0 * GuardMetric.entries.size * plan.guardCount / plan.errorRate)

    /** Logarithms of the e-values: for each metric in order, one for each alternative. */
    val logEvidence: List<Double> get() = comparisons.values.flatMap { it.logEvidence }

    /** The metric on which the new version was found worse; null when there is none. */
    val finding: GuardMetric? get() = worst(logEvidence, limit)

    fun add(
        side: MoveSide,
        observation: VersionObservation,
    ) {
        comparisons.getValue(GuardMetric.FAILURES).add(side, !observation.isSuccess)
        if (!observation.isSuccess) return
        addDuration(GuardMetric.LATENCY, side, observation.latency)
        addDuration(GuardMetric.FIRST_TOKEN, side, observation.firstToken)
        addDuration(GuardMetric.BETWEEN_TOKENS, side, observation.betweenTokens)
    }

    private fun addDuration(
        metric: GuardMetric,
        side: MoveSide,
        duration: Duration?,
    ) {
        if (duration == null) return
        val window = durations.getValue(metric)
        window.thresholdNanos?.let { comparisons.getValue(metric).add(side, duration.toNanos() > it) }
        if (side == MoveSide.OLD) window.add(duration.toNanos())
    }

    companion object {
        private const val PRIOR_FAILURE_SHARE = 0.02
        private const val PRIOR_SLOW_SHARE = 0.1

        /** Returns windows without durations. */
        fun emptyDurations(): Map<GuardMetric, DurationWindow> =
            (GuardMetric.entries - GuardMetric.FAILURES).associateWith { DurationWindow() }

        /** Returns the metric whose mean e-value reaches the [limit], given as a logarithm. */
        fun worst(
            logEvidence: List<Double>,
            limit: Double,
        ): GuardMetric? =
            logEvidence
                .chunked(SequentialComparison.ALTERNATIVE_COUNT)
                .zip(GuardMetric.entries)
                .firstOrNull { (logs, _) -> SequentialComparison.logMean(logs) >= limit }
                ?.second

        /** Returns the metric on which the [reports] of different routers together show the new version to be worse. */
        fun pooledFinding(
            plan: MovePlan,
            reports: Collection<List<Double>>,
        ): GuardMetric? {
            if (reports.isEmpty()) return null
            val sums = reports.reduce { one, other -> one.zip(other) { a, b -> a + b } }
            return worst(sums, ln(2.0 * GuardMetric.entries.size / plan.errorRate))
        }
    }
}
