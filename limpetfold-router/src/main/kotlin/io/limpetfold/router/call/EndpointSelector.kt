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
 * Selects the version and the endpoint of an attempt and acquires a slot there.
 *
 * @param refreshSeat applies a changed or expired seat to the limiter. It runs before each attempt, because a process
 *   that was paused until its seat expired would otherwise use its old share of slots until the next round of
 *   maintenance.
 */
internal class EndpointSelector(
    private val versionSelector: VersionSelector,
    private val membership: Membership,
    private val limiter: EndpointLimiter,
    private val refreshSeat: () -> Unit,
) {
    /**
     * Waits for a slot within the route's queue limit and the call's deadline. Endpoints in [triedEndpoints] are used
     * only when the version has no others.
     */
    suspend fun acquire(
        call: Call,
        triedEndpoints: Set<EndpointId>,
    ): Result<Attempt, Refusal.NotRun> {
        refreshSeat()
        val listedEndpoints = membership.endpoints(call.service.name)
        val configuredVersions = call.service.versions.mapTo(HashSet()) { it.version }
        val usableEndpoints = listedEndpoints.filter { it.version in configuredVersions }
        val move = versionSelector.moves().firstOrNull { it.route == call.route.route }
        val oldVersion = move?.oldVersion ?: call.route.activeVersion
        val hasOldEndpoint = usableEndpoints.any { it.version == oldVersion && !it.isLeaving }
        val choice =
            versionSelector.choose(
                call.route.route,
                call.request,
                hasOldEndpoint,
                call.configPublishedAtMillis,
            )
        val resources = call.resources.own(choice, versionSelector)
        val version = choice.version ?: call.route.activeVersion
        val versionEndpoints = usableEndpoints.filter { it.version == version }
        val untriedEndpoints = versionEndpoints.filter { EndpointId(it.instance.value) !in triedEndpoints }
        val candidates =
            untriedEndpoints
                .ifEmpty {
                    versionEndpoints
                }.map { EndpointCandidate(EndpointId(it.instance.value), it.zone) }
        val maxWait = minOf(call.route.queue.maxWait, call.remainingTime())
        return limiter.acquire(call.route.route, call.workspace.workspace, candidates, maxWait).fold(
            success = { permit ->
                resources.add(permit)
                val endpoint = versionEndpoints.first { it.instance.value == permit.endpoint.value }
                Ok(Attempt(permit.endpoint, endpoint.address(), version, resources))
            },
            failure = { refusal ->
                resources.discardUnsent()
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
