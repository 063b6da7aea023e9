package io.limpetfold.rollout

import java.time.Duration
import kotlin.math.ln

/**
 * Compares the new version of one move on one route with the old one, from the outcomes that one router sees.
 *
 * Failures and each kind of duration have a [SequentialComparison] of their own. A duration is bad when it exceeds a threshold learned from
 * the old version. The guard's share of the plan's error rate is divided over the metrics and over the plan's number of guards, so the
 * probability that any of them withdraws a version that is no worse stays below half the plan's error rate, as long as outcomes are
 * independent and the old version's share of bad outcomes does not more than double.
 *
 * A version that always fails is found within 8, 15 and 24 outcomes at weights of 0.05, 0.25 and 0.5 (SequentialComparisonTest, at the rate of
 * one of 64 tests that share 0.01); requests in flight are bounded by [VersionSelectorPolicy.leastInFlight]. Not safe for concurrent use.
 */
internal class VersionGuard(
    plan: MovePlan,
    private val baseline: RouteBaseline,
) {
    private val comparisons = GuardMetric.entries.associateWith { SequentialComparison(priorShare(it)) }
    private val evidence = GuardMetric.entries.associateWith { Evidence() }
    private val limit = ln(2.0 * GuardMetric.entries.size * plan.guardCount / plan.errorRate)

    /** Failures so far. */
    private var failures = OutcomeCounts()

    /** Logarithms of the e-values of the durations: for each metric but failures in order, one for each alternative. */
    private val logEvidence: List<Double> get() = comparisons.filterKeys { it != GuardMetric.FAILURES }.values.flatMap { it.logEvidence }

    /** What was seen so far. */
    val report: GuardReport get() = GuardReport(failures, baseline.failures, logEvidence)

    /** The metric on which the new version was found worse; null when there is none. */
    var finding: GuardMetric? = null
        private set

    init {
        comparisons.getValue(GuardMetric.FAILURES).learn(baseline.failures)
    }

    fun add(
        side: MoveSide,
        observation: VersionObservation,
    ) {
        failures = failures.plus(side, !observation.isSuccess)
        addOutcome(GuardMetric.FAILURES, side, !observation.isSuccess)
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
        val window = baseline.durations.getValue(metric)
        window.thresholdNanos?.let { addOutcome(metric, side, duration.toNanos() > it) }
        if (side == MoveSide.OLD) window.add(duration.toNanos())
    }

    private fun addOutcome(
        metric: GuardMetric,
        side: MoveSide,
        isBad: Boolean,
    ) {
        val factors = comparisons.getValue(metric).add(side, isBad) ?: return
        val metricEvidence = evidence.getValue(metric)
        metricEvidence.add(factors)
        if (finding == null && metricEvidence.log >= limit) finding = metric
    }

    companion object {
        private const val PRIOR_FAILURE_SHARE = 0.02
        private const val PRIOR_SLOW_SHARE = 0.1

        /** The expected share of bad outcomes of an old version of which nothing was seen yet. */
        fun priorShare(metric: GuardMetric): Double = if (metric == GuardMetric.FAILURES) PRIOR_FAILURE_SHARE else PRIOR_SLOW_SHARE
    }
}
