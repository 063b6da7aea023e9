package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import kotlin.math.ln

/**
 * The controller's test of one move over the reports of all routers; it spends half of the plan's error rate.
 *
 * Failures are pooled as counts, because they mean the same at every router. Durations are counted against each router's own threshold, so
 * the factors of the routers' e-values are multiplied instead. A new controller starts from the routers' cumulative reports. Not safe for
 * concurrent use.
 */
internal class PooledEvidence(
    plan: MovePlan,
) {
    private val failures = SequentialComparison(VersionGuard.priorShare(GuardMetric.FAILURES))
    private val evidence = GuardMetric.entries.associateWith { Evidence() }
    private val seen = HashMap<Incarnation, GuardReport>()
    private val limit = ln(2.0 * GuardMetric.entries.size / plan.errorRate)

    /** The metric on which the new version was found worse; null when there is none. */
    val finding: GuardMetric? get() = evidence.entries.firstOrNull { it.value.log >= limit }?.key

    /** Takes the latest [reports]; a report that was seen before adds nothing. */
    fun add(reports: Map<Incarnation, GuardReport>) {
        val sums = DoubleArray(DURATION_METRICS.size * SequentialComparison.ALTERNATIVE_COUNT)
        for ((router, report) in reports.entries.sortedBy { it.key }) {
            val last = seen.put(router, report)
            if (last == null) failures.learn(report.earlierFailures)
            addFailures(last?.failures ?: OutcomeCounts(), report.failures)
            for (index in sums.indices) sums[index] += report.logEvidence[index] - (last?.logEvidence?.get(index) ?: 0.0)
        }
        sums.toList().chunked(SequentialComparison.ALTERNATIVE_COUNT).zip(DURATION_METRICS) { factors, metric ->
            if (factors.any { it != 0.0 }) evidence.getValue(metric).add(factors)
        }
    }

    private fun addFailures(
        last: OutcomeCounts,
        now: OutcomeCounts,
    ) {
        val oldBad = now.oldBad - last.oldBad
        val newBad = now.newBad - last.newBad
        repeat((now.old - last.old - oldBad).toInt()) { addFailure(MoveSide.OLD, isBad = false) }
        repeat(oldBad.toInt()) { addFailure(MoveSide.OLD, isBad = true) }
        repeat((now.new - last.new - newBad).toInt()) { addFailure(MoveSide.NEW, isBad = false) }
        repeat(newBad.toInt()) { addFailure(MoveSide.NEW, isBad = true) }
    }

    private fun addFailure(
        side: MoveSide,
        isBad: Boolean,
    ) {
        failures.add(side, isBad)?.let { evidence.getValue(GuardMetric.FAILURES).add(it) }
    }

    private companion object {
        val DURATION_METRICS = GuardMetric.entries - GuardMetric.FAILURES
    }
}
