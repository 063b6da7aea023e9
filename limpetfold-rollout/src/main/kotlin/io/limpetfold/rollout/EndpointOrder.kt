package io.limpetfold.rollout

import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.FencingToken

/** An order to the endpoints of one version. It may be delivered more than once. */
sealed interface EndpointOrder {
    val move: MoveId
    val route: RouteId
    val version: VersionId
    val fencing: FencingToken

    /** Tells the endpoints of the new version to unload it, because the move was rolled back. */
    data class Unload(
        override val move: MoveId,
        override val route: RouteId,
        override val version: VersionId,
        override val fencing: FencingToken,
    ) : EndpointOrder

    /** Tells the endpoints of the old version to drain: the move was completed and every listed router confirmed it. */
    data class Drain(
        override val move: MoveId,
        override val route: RouteId,
        override val version: VersionId,
        override val fencing: FencingToken,
    ) : EndpointOrder
}
