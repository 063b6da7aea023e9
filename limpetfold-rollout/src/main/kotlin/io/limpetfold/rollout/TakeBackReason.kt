package io.limpetfold.rollout

import io.limpetfold.core.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a move was rolled back. */
@Serializable
sealed interface TakeBackReason {
    /** The routers' outcomes together show the new version to be worse. */
    @Serializable
    @SerialName("evidence")
    data class Evidence(
        val metric: GuardMetric,
    ) : TakeBackReason

    /** One router's guard withdrew the new version. */
    @Serializable
    @SerialName("verdict")
    data class RouterVerdict(
        val verdict: Verdict,
    ) : TakeBackReason

    /** The new version answered too few requests. */
    @Serializable
    @SerialName("no-progress")
    data class NoProgress(
        val outcomes: Long,
    ) : TakeBackReason

    /** `Completed` could not be written early enough; [unheard] held exposure and did not agree to the completion. */
    @Serializable
    @SerialName("too-late")
    data class TooLate(
        val unheard: List<InstanceId>,
    ) : TakeBackReason

    /** The deadline passed while the move was running. */
    @Serializable
    @SerialName("deadline-passed")
    data object DeadlinePassed : TakeBackReason

    /** An operator asked for it. */
    @Serializable
    @SerialName("operator")
    data class Operator(
        val name: String,
    ) : TakeBackReason
}
