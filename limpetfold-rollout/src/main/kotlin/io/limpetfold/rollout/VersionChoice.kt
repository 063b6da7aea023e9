package io.limpetfold.rollout

import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId

/**
 * The version chosen for one request.
 *
 * @property version null when no move determines the version: use the configured active version.
 * @property move the running move that the request is part of; null if no move was running.
 * @property isExposed whether the request was counted against the exposure allotment.
 */
class VersionChoice internal constructor(
    val route: RouteId,
    val request: RequestId,
    val version: VersionId?,
    val move: MoveId? = null,
    val side: MoveSide = MoveSide.OLD,
    val isExposed: Boolean = false,
    internal val step: Int = 0,
) {
    override fun toString(): String = "VersionChoice(route=$route, version=$version, move=$move, side=$side)"
}
