package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId

/** The stored status of an earlier order of the same service, which names another target. */
data class PreviousMove(
    val target: VersionId,
    val status: MoveStatus,
)
