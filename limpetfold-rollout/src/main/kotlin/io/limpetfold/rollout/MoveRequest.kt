package io.limpetfold.rollout

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import java.time.Instant

/** An operator's order to start a move; sent again with the same [id] it has no second effect. */
data class MoveRequest(
    val id: MoveId,
    val route: RouteId,
    val oldVersion: VersionId,
    val newVersion: VersionId,
    val operator: String,
    val deadline: Instant,
    val preset: MovePreset = MovePreset.AVAILABILITY,
)
