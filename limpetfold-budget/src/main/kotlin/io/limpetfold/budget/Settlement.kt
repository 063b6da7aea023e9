package io.limpetfold.budget

import io.limpetfold.core.Incarnation

/**
 * The result of settling a reservation.
 *
 * @property chargedTokens the tokens charged by this call: at most the reserved ones, and 0 when [isRepeated].
 * @property releasedTokens the reserved tokens that this call released; 0 when [isRepeated].
 * @property cumulativeSpentTokens the total spend of [holder] for the workspace, of which peers keep copies under the
 * same holder; 0 when the account was evicted.
 * @property isRepeated whether the reservation was settled before, or charged in full when the agent closed.
 */
data class Settlement(
    val holder: Incarnation,
    val chargedTokens: Long,
    val releasedTokens: Long,
    val cumulativeSpentTokens: Long,
    val isRepeated: Boolean,
)
