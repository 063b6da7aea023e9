package io.limpetfold.budget

import io.limpetfold.core.Incarnation

/**
 * The bill of one reservation.
 *
 * @property chargedTokens what this call charged: at most the reservation, and 0 when it was settled before.
 * @property releasedTokens what this call released of the reservation.
 * @property cumulativeSpentTokens the spend of [holder] for the workspace so far, for the copies sent to peers under the
 * same holder; 0 when the account was forgotten.
 * @property isRepeated the reservation was settled before, or charged in full when the agent closed.
 */
data class Settlement(
    val holder: Incarnation,
    val chargedTokens: Long,
    val releasedTokens: Long,
    val cumulativeSpentTokens: Long,
    val isRepeated: Boolean,
)
