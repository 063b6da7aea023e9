package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/**
 * Identifies one move.
 *
 * The author of a move chooses a new id, so that a start whose response was lost can be repeated without effect.
 */
@Serializable
@JvmInline
value class MoveId(
    val value: String,
) {
    override fun toString(): String = value
}
