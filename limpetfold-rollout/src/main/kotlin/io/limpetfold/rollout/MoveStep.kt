package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/**
 * One step of a move.
 *
 * @property weight share of the route's requests that go to the new version while the allotment lasts.
 * @property allottedRequests the minimum number of requests that the step adds to the fleet-wide allotment.
 * @property evidenceRequests outcomes of the new version that are enough to end the step after [holdMillis].
 * @property holdMillis the minimum duration of the step; a step behind schedule is held for less.
 * @property endMillis time after the start of the move from which the step ends with fewer outcomes.
 */
@Serializable
data class MoveStep(
    val weight: Double,
    val allottedRequests: Long,
    val evidenceRequests: Long,
    val holdMillis: Long,
    val endMillis: Long,
)
