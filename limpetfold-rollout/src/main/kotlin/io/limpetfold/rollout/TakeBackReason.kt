package io.limpetfold.rollout

import io.limpetfold.core.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a move was rolled back. */
@Serializable
sealed interface TakeBackReason {
    /** The pooled outcomes of all routers show the new version to be worse. */
    @Serializable
    @SerialName("evidence")
    data class Evidence(
        val metric: GuardMetric,
    ) : TakeBackReason

    /** The guard of one router found the new version worse. */
    @Serializable
    @SerialName("verdict")
    data class RouterVerdict(
        val verdict: Verdict,
    ) : TakeBackReason

    /** The new version had too few outcomes. */
    @Serializable
    @SerialName("no-progress")
    data class NoProgress(
        val outcomes: Long,
    ) : TakeBackReason

    /**
     * `Completed` could not be written in time.
     *
     * @property unheard the routers that held exposure and did not respond in the last round.
     */
    @Serializable
    @SerialName("too-late")
    data class TooLate(
        val unheard: List<InstanceId>,
    ) : TakeBackReason

    /** The deadline passed while the move was running. */
    @Serializable
    @SerialName("deadline-passed")
    data object DeadlinePassed : TakeBackReason

    /** The store was restored from an older copy, so grants are missing from the move object. */
    @Serializable
    @SerialName("store-restored")
    data object StoreRestored : TakeBackReason

    /** The operator [name] took the move back. */
    @Serializable
    @SerialName("operator")
    data class Operator(
        val name: String,
    ) : TakeBackReason
}
