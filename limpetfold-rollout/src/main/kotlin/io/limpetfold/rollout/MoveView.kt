package io.limpetfold.rollout

import io.limpetfold.core.Incarnation

/**
 * What a controller knows about one move when it decides.
 *
 * @property reports the latest report of each router incarnation, also of those that did not answer this time.
 * @property finding the metric on which all reports together show the new version to be worse.
 * @property heard the incarnations that answered this time.
 */
internal data class MoveView(
    val nowMillis: Long,
    val reports: Map<Incarnation, MoveReport>,
    val heard: Set<Incarnation>,
    val finding: GuardMetric? = null,
) {
    val verdict: Verdict? get() = reports.values.firstNotNullOfOrNull { it.verdict }
    val outcomes: Long get() = reports.values.sumOf { it.outcomesByStep.sum() }
    val requestsPerSecond: Double get() = reports.filterKeys { it in heard }.values.sumOf { it.requestsPerSecond }

    fun outcomes(step: Int): Long = reports.values.sumOf { it.outcomesByStep.getOrElse(step) { 0 } }
}
