package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/** Cumulative counts of the outcomes of both versions, and how many of them were bad. */
@Serializable
data class OutcomeCounts(
    val old: Long = 0,
    val oldBad: Long = 0,
    val new: Long = 0,
    val newBad: Long = 0,
) {
    internal fun plus(
        side: MoveSide,
        isBad: Boolean,
    ): OutcomeCounts {
        val bad = if (isBad) 1 else 0
        return when (side) {
            MoveSide.OLD -> copy(old = old + 1, oldBad = oldBad + bad)
            MoveSide.NEW -> copy(new = new + 1, newBad = newBad + bad)
        }
    }
}
