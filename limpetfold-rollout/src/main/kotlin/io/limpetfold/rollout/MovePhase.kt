package io.limpetfold.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The phase of a move; [Completed] and [TakenBack] are final. */
@Serializable
sealed interface MovePhase {
    /** Whether the move has ended. */
    val isFinal: Boolean get() = this !is Running

    /** Traffic is moved step by step; [step] counts from 0. */
    @Serializable
    @SerialName("running")
    data class Running(
        val step: Int,
    ) : MovePhase

    /** The new version is active. */
    @Serializable
    @SerialName("completed")
    data object Completed : MovePhase

    /** The old version is active. */
    @Serializable
    @SerialName("taken-back")
    data class TakenBack(
        val reason: TakeBackReason,
    ) : MovePhase
}
