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

/** Hands the configuration, the seat and the endpoints in force to the limiter; safe for concurrent use. */
internal class LimiterUpdates(
    private val config: ConfigWatcher,
    private val membership: Membership,
    private val seats: SeatClient,
    private val limiter: EndpointLimiter,
) {
    @Volatile
    private var limitsOfGeneration: Pair<Long, List<RouteQueueConfig>>? = null

    @Volatile
    private var appliedSeat: Int? = null

    /** Applies what is in force now; does nothing before the first configuration. */
    fun apply() {
        val current = config.current ?: return
        val seat = seats.seat
        appliedSeat = seat?.number
        limiter.update(routeLimits(current), seat?.number, seat?.wasDrained ?: false, current.maxRouters, capacities(current))
    }

    /**
     * Applies a change of the seat at once; it runs before each attempt, see
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

    /** Made once for each generation: with many workspaces the map of weights is large. */
    private fun routeLimits(current: FleetConfig): List<RouteQueueConfig> {
        val known = limitsOfGeneration
        if (known != null && known.first == current.generation) return known.second
        val weights = current.workspaces.associate { it.workspace to it.weight }.toImmutableMap()
        val limits = current.routes.map { RouteQueueConfig(it.route, it.queue.maxRequests, weights) }
        limitsOfGeneration = current.generation to limits
        return limits
    }
}
