package io.limpetfold.rollout

import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import kotlinx.serialization.Serializable

/** A router's finding that the new version of a move is worse than the old one. */
@Serializable
data class Verdict(
    val move: MoveId,
    val route: RouteId,
    val version: VersionId,
    val router: InstanceId,
    val metric: GuardMetric,
    val atMillis: Long,
)
