package io.limpetfold.rollout

import java.time.Duration
import kotlin.math.ln

/**
 * Compares the new version of one move on one route with the old one, from the outcomes that one router records.
 *
 * Failures and each duration metric have their own [SequentialComparison]. A duration is bad if it exceeds a threshold
 * derived from the old version. Half of the plan's error rate is divided over the metrics and over the plan's number of
 * guards, so the probability that any guard withdraws a version that is no worse stays below that half, as long as
 * outcomes are independent and the old version's share of bad outcomes does not more than double.
 *
 * A version that always fails is found within 8, 15 and 24 outcomes at weights of 0.05, 0.25 and 0.5
 * (SequentialComparisonTest, at the rate of one of 64 tests that share 0.01). Until the new version has succeeded,
 * requests in flight to it are bounded by [VersionSelectorPolicy.initialInFlightLimit]. Not safe for concurrent use.
 */
internal class VersionGuard(
    plan: MovePlan,
    private val baseline: RouteBaseline,
) {
    private val comparisons = GuardMetric.entries.associateWith { SequentialComparison(priorShare(it)) }
    private val evidence = GuardMetric.entries.associateWith { Evidence() }
    private val logThreshold = ln(2.0 * GuardMetric.entries.size * plan.guardCount / plan.errorRate)

    /** Outcomes and failures since the start of the move. */
    private var failures = OutcomeCounts()

    /** Logarithms of the e-values of the durations: for each duration metric in order, one for each alternative. */
    private val logEvidence: List<Double> get() =
        comparisons
            .filterKeys {
                it != GuardMetric.FAILURES
            }.values
            .flatMap { it.logEvidence }

    /** The outcomes and evidence recorded so far. */
    val report: GuardReport get() = GuardReport(failures, baseline.failures, logEvidence)

    /** The first metric on which the new version was found worse; null if there is none. */
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
        if (finding == null && metricEvidence.log >= logThreshold) finding = metric
    }

    companion object {
        private const val PRIOR_FAILURE_SHARE = 0.02
        private const val PRIOR_SLOW_SHARE = 0.1

        /** Returns the assumed share of bad outcomes of an old version without recorded outcomes. */
        fun priorShare(metric: GuardMetric): Double =
            if (metric == GuardMetric.FAILURES) {
                PRIOR_FAILURE_SHARE
            } else {
                PRIOR_SLOW_SHARE
            }
    }
}
