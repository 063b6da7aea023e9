package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/**
 * One step of a move.
 *
 * @property weight share of the route's requests that go to the new version while the allotment lasts.
 * @property allottedRequests the least number of requests that the step adds to the fleet-wide allotment.
 * @property evidenceRequests outcomes of the new version that end the step after [holdMillis].
 * @property holdMillis the least duration of the step.
 * @property endMillis time after the start of the move at which less evidence ends the step.
 */
@Serializable
data class MoveStep(
    val weight: Double,
    val allottedRequests: Long,
    val evidenceRequests: Long,
    val holdMillis: Long,
    val endMillis: Long,
)
