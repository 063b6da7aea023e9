package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import kotlin.math.ln

/**
 * Compares the versions of one move on the pooled reports of all routers, with half of the plan's error rate.
 *
 * Failures are pooled as counts, because they mean the same on every router. Durations are compared with each router's
 * own threshold, so the factors of the routers' e-values are multiplied instead. A new controller starts from the
 * routers' cumulative reports. Not safe for concurrent use.
 */
internal class PooledEvidence(
    plan: MovePlan,
) {
    private val failures = SequentialComparison(VersionGuard.priorShare(GuardMetric.FAILURES))
    private val evidence = GuardMetric.entries.associateWith { Evidence() }
    private val lastReports = HashMap<Incarnation, GuardReport>()
    private val logThreshold = ln(2.0 * GuardMetric.entries.size / plan.errorRate)

    /** A metric on which the new version was found worse; null if there is none. */
    val finding: GuardMetric? get() = evidence.entries.firstOrNull { it.value.log >= logThreshold }?.key

    /** Adds the latest [reports]. They are cumulative, so only the change since a router's previous report counts. */
    fun add(reports: Map<Incarnation, GuardReport>) {
        val sums = DoubleArray(DURATION_METRICS.size * SequentialComparison.ALTERNATIVE_COUNT)
        for ((router, report) in reports.entries.sortedBy { it.key }) {
            val previous = lastReports.put(router, report)
            if (previous == null) failures.learn(report.earlierFailures)
            addFailures(previous?.failures ?: OutcomeCounts(), report.failures)
            for (index in sums.indices) {
                sums[index] +=
                    report.logEvidence[index] - (previous?.logEvidence?.get(index) ?: 0.0)
            }
        }
        sums.toList().chunked(SequentialComparison.ALTERNATIVE_COUNT).zip(DURATION_METRICS) { factors, metric ->
            if (factors.any { it != 0.0 }) evidence.getValue(metric).add(factors)
        }
    }

    private fun addFailures(
        previous: OutcomeCounts,
        latest: OutcomeCounts,
    ) {
        val oldBad = latest.oldBad - previous.oldBad
        val newBad = latest.newBad - previous.newBad
        repeat((latest.old - previous.old - oldBad).toInt()) { addOutcome(MoveSide.OLD, isBad = false) }
        repeat(oldBad.toInt()) { addOutcome(MoveSide.OLD, isBad = true) }
        repeat((latest.new - previous.new - newBad).toInt()) { addOutcome(MoveSide.NEW, isBad = false) }
        repeat(newBad.toInt()) { addOutcome(MoveSide.NEW, isBad = true) }
    }

    private fun addOutcome(
        side: MoveSide,
        isBad: Boolean,
    ) {
        failures.add(side, isBad)?.let { evidence.getValue(GuardMetric.FAILURES).add(it) }
    }

    private companion object {
        val DURATION_METRICS = GuardMetric.entries - GuardMetric.FAILURES
    }
}
