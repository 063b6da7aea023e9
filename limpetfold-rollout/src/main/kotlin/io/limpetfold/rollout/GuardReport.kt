package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/**
 * What the guard of one router has recorded during a move, for pooling over routers.
 *
 * @property failures outcomes and failures during the move.
 * @property earlierFailures outcomes and failures of the old version before the move.
 * @property logEvidence logarithms of the e-values of durations: for latency, first token and between tokens in this
 *   order, one for each alternative.
 */
@Serializable
data class GuardReport(
    val failures: OutcomeCounts,
    val earlierFailures: OutcomeCounts,
    val logEvidence: List<Double>,
)
