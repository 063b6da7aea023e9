package io.limpetfold.gateway.call

import io.limpetfold.core.RequestId
import io.limpetfold.gateway.codec.CallHeaders
import io.limpetfold.http.RequestHead
import io.limpetfold.rollout.timed.TimedVersionChoice
import io.limpetfold.routing.ForwardingRoute
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.WorkspaceAccess
import java.time.Duration

/**
 * A call that passed the checks of its head.
 *
 * @property arrivedAt monotonic time at which the head was complete.
 * @property endsAt monotonic time at which the caller or the route gives up.
 * @property service the service chosen among those of the route.
 */
internal class AdmittedCall(
    val head: RequestHead,
    val headers: CallHeaders,
    val request: RequestId,
    val table: RoutingTable,
    val route: ForwardingRoute,
    val workspace: WorkspaceAccess?,
    val service: String,
    val arrivedAt: Duration,
    val endsAt: Duration,
) {
    /** The body; empty until it was read. */
    var body: ByteArray = ByteArray(0)

    /** The side of a move between versions that the call belongs to; null where none runs. */
    var move: TimedVersionChoice? = null

    /** Endpoints that the call was sent to, in order. */
    val sends = mutableListOf<String>()

    /** What the endpoints said, in order. */
    val outcomes = mutableListOf<String>()

    /** Whether an endpoint may have run the call. */
    var mayHaveRun = false

    /** Whether a byte of an answer went to the caller. */
    var isAnswerBegun = false

    /** Events that went to the caller. */
    var deliveredEvents = 0

    /** Monotonic time of the first byte of the answer, or null. */
    var firstByteAt: Duration? = null

    /** Generated tokens that one event holds. */
    val tokensPerEvent: Int get() = table.service(service)?.engine?.tokensPerEvent ?: 1

    /** The rank for the endpoint's queue: a workspace's own goes before that of the route. */
    val priority: Int get() = workspace?.priority?.let { it * ROUTE_RANKS + route.priority } ?: route.priority

    private companion object {
        /** Routes of one workspace are ordered within its rank. */
        const val ROUTE_RANKS = 3
    }
}
