package io.limpetfold.rollout

import kotlinx.serialization.Serializable

/** Identifies one move; its author chooses a fresh one, by which a lost answer to the start is recognised. */
@Serializable
@JvmInline
value class MoveId(
    val value: String,
) {
    override fun toString(): String = value
}
