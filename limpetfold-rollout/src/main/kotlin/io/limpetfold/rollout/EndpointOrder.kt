package io.limpetfold.rollout

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.FencingToken

/** An order to the endpoints of one version; it may arrive more than once. */
sealed interface EndpointOrder {
    val move: MoveId
    val route: RouteId
    val version: VersionId
    val fencing: FencingToken

    /** Stop loading the new version: the move was rolled back. */
    data class Unload(
        override val move: MoveId,
        override val route: RouteId,
        override val version: VersionId,
        override val fencing: FencingToken,
    ) : EndpointOrder

    /** Drain the old version: the move was completed and every listed router has confirmed it. */
    data class Drain(
        override val move: MoveId,
        override val route: RouteId,
        override val version: VersionId,
        override val fencing: FencingToken,
    ) : EndpointOrder
}
