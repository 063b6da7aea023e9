package io.limpetfold.router.operate

import io.limpetfold.config.ConfigWatcher
import io.limpetfold.config.FleetConfig
import io.limpetfold.core.EndpointId
import io.limpetfold.limits.DeclaredEndpoint
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.RouteQueueConfig
import io.limpetfold.membership.Membership
import io.limpetfold.membership.SeatClient
import kotlinx.collections.immutable.toImmutableMap

/** Passes the current configuration, seat and endpoints to the limiter; safe for concurrent use. */
internal class LimiterUpdater(
    private val config: ConfigWatcher,
    private val membership: Membership,
    private val seats: SeatClient,
    private val limiter: EndpointLimiter,
) {
    @Volatile
    private var cachedLimits: Pair<Long, List<RouteQueueConfig>>? = null

    @Volatile
    private var appliedSeat: Int? = null

    /** Applies the current state; does nothing before the first configuration. */
    fun apply() {
        val current = config.current ?: return
        val seat = seats.seat
        appliedSeat = seat?.number
        limiter.update(
            routeLimits(current),
            seat?.number,
            seat?.wasDrained ?: false,
            current.maxRouters,
            capacities(current),
        )
    }

    /**
     * Applies a changed or expired seat immediately; called before each attempt, see
     * [io.limpetfold.router.call.EndpointSelector].
     */
    fun refreshSeat() {
        if (seats.seat?.number != appliedSeat) apply()
    }

    private fun capacities(current: FleetConfig): List<DeclaredEndpoint> =
        current.services.flatMap { service ->
            val limits = service.versions.associate { it.version to it.maxInFlightPerEndpoint }
            membership.endpoints(service.name).mapNotNull { listed ->
                limits[listed.version]?.let {
                    DeclaredEndpoint(EndpointId(listed.instance.value), listed.zone, it, listed.isLeaving)
                }
            }
        }

    /** Cached for each generation, because the map of weights is large with many workspaces. */
    private fun routeLimits(current: FleetConfig): List<RouteQueueConfig> {
        val cached = cachedLimits
        if (cached != null && cached.first == current.generation) return cached.second
        val weights = current.workspaces.associate { it.workspace to it.weight }.toImmutableMap()
        val limits = current.routes.map { RouteQueueConfig(it.route, it.queue.maxRequests, weights) }
        cachedLimits = current.generation to limits
        return limits
    }
}
