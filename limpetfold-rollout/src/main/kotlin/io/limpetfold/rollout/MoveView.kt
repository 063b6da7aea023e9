package io.limpetfold.rollout

import io.limpetfold.core.Incarnation

/**
 * The input of a controller's decision on one move.
 *
 * @property reports the latest report of each router incarnation, including those that did not respond in this round.
 * @property responders the incarnations that responded in this round.
 * @property finding the metric on which the pooled reports show the new version to be worse; null if there is none.
 */
internal data class MoveView(
    val nowMillis: Long,
    val reports: Map<Incarnation, MoveReport>,
    val responders: Set<Incarnation>,
    val finding: GuardMetric? = null,
) {
    /** The verdict of any router; null if there is none. */
    val verdict: Verdict? get() = reports.values.firstNotNullOfOrNull { it.verdict }

    /** Whether the grants in the record are less than what routers have received, so that their sum bounds nothing. */
    val hasLostGrants: Boolean get() = reports.values.any { it.hasLostGrants }

    /** Outcomes of the new version in all steps. */
    val outcomes: Long get() = reports.values.sumOf { it.outcomesByStep.sum() }

    /** The demand on the route, over the routers that responded in this round. */
    val requestsPerSecond: Double get() = reports.filterKeys { it in responders }.values.sumOf { it.requestsPerSecond }

    /** Returns the outcomes of the new version in [step]. */
    fun outcomes(step: Int): Long = reports.values.sumOf { it.outcomesByStep.getOrElse(step) { 0 } }
}
