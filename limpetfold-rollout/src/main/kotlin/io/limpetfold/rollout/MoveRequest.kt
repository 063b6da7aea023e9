package io.limpetfold.rollout

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import java.time.Instant

/** An operator's request to start a move; idempotent for the same [id]. */
data class MoveRequest(
    val id: MoveId,
    val route: RouteId,
    val oldVersion: VersionId,
    val newVersion: VersionId,
    val operator: String,
    val deadline: Instant,
    val preset: MovePreset = MovePreset.AVAILABILITY,
)
