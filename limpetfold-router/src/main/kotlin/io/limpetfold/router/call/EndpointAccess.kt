package io.limpetfold.router.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.core.EndpointId
import io.limpetfold.http.HostPort
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.LimitRefusal
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import io.limpetfold.request.Refusal
import io.limpetfold.rollout.VersionSelector

/**
 * Chooses the version and the endpoint of an attempt and takes a slot there.
 *
 * @param refreshSeat tells the limiter when the seat is no longer usable. It runs before each attempt, because a process that was paused
 *   past the seat's bound would otherwise use the old share until the next round of maintenance.
 */
internal class EndpointAccess(
    private val versions: VersionSelector,
    private val membership: Membership,
    private val limiter: EndpointLimiter,
    private val refreshSeat: () -> Unit,
) {
    /** Waits for a slot within the route's queue limit and the call's deadline; endpoints in [tried] are avoided while others exist. */
    suspend fun acquire(
        call: Call,
        tried: Set<EndpointId>,
    ): Result<Attempt, Refusal.NotRun> {
        refreshSeat()
        val listed = membership.endpoints(call.service.name)
        val configured = call.service.versions.mapTo(HashSet()) { it.version }
        val usable = listed.filter { it.version in configured }
        val move = versions.moves().firstOrNull { it.route == call.route.route }
        val oldVersion = move?.oldVersion ?: call.route.activeVersion
        val hasOldEndpoint = usable.any { it.version == oldVersion && !it.isLeaving }
        val choice = versions.choose(call.route.route, call.request, hasOldEndpoint, call.configuredAtMillis)
        val version = choice.version ?: call.route.activeVersion
        val ofVersion = usable.filter { it.version == version }
        val untried = ofVersion.filter { EndpointId(it.instance.value) !in tried }
        val candidates = untried.ifEmpty { ofVersion }.map { EndpointCandidate(EndpointId(it.instance.value), it.zone) }
        val maxWait = minOf(call.route.queue.maxWait, call.remaining())
        return limiter.acquire(call.route.route, call.workspace.workspace, candidates, maxWait).fold(
            success = { permit ->
                val endpoint = ofVersion.first { it.instance.value == permit.endpoint.value }
                Ok(Attempt(permit.endpoint, endpoint.address(), version, choice, permit))
            },
            failure = { refusal ->
                versions.cancel(choice, wasSent = false)
                Err(refusal.toRefusal())
            },
        )
    }

    private fun ListedInstance.address() = HostPort(host, port)

    private fun LimitRefusal.toRefusal(): Refusal.NotRun =
        when (this) {
            is LimitRefusal.QueueFull -> Refusal.EndpointCapacity(route, retryAfter)
            is LimitRefusal.NoCapacity -> Refusal.EndpointCapacity(route, retryAfter)
            is LimitRefusal.NoEndpoint -> Refusal.NoEndpoint(route, retryAfter)
            is LimitRefusal.UnknownRoute -> Refusal.NoEndpoint(route, retryAfter)
        }
}
