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
 * A call that passed admission, and the state of its processing.
 *
 * @property arrivedAt monotonic time at which the request head was received.
 * @property deadline monotonic time at which the caller's timeout or the route's ends, whichever is first.
 * @property service the service that was chosen among those of the route.
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
    val deadline: Duration,
) {
    /** The request body; empty until it has been read. */
    var body: ByteArray = ByteArray(0)

    /** The side of a running move between versions that the call is assigned to; null if no move runs. */
    var move: TimedVersionChoice? = null

    /** Endpoint and load of each attempt, in order, including attempts that failed to connect. */
    val attempts = mutableListOf<String>()

    /** Outcome of each attempt, in order, as text for the log. */
    val attemptOutcomes = mutableListOf<String>()

    /** Whether an endpoint may have run the call. */
    var mayHaveRun = false

    /** Whether the response to the caller was started. */
    var isResponseStarted = false

    /** Number of stream events that were written to the caller. */
    var deliveredEvents = 0

    /** Whether output was written to the caller that isn't a stream of events, so that its tokens can't be counted. */
    var hasUncountedOutput = false

    /** Monotonic time at which the response to the caller was started, or null. */
    var firstByteAt: Duration? = null

    /** Generated tokens per stream event; null if the configuration does not tell. */
    val tokensPerEvent: Int? get() = table.service(service)?.engine?.tokensPerEvent

    /** Priority in the endpoint's queue, ordered by the workspace's priority first and the route's second. */
    val priority: Int get() = workspace?.priority?.let { it * ROUTE_PRIORITIES + route.priority } ?: route.priority

    private companion object {
        /** Number of route priorities within one workspace priority. */
        const val ROUTE_PRIORITIES = 3
    }
}
