package io.limpetfold.routing

import io.limpetfold.core.RouteId
import kotlinx.collections.immutable.ImmutableList
import java.time.Duration

/**
 * A route whose calls are forwarded unchanged to the endpoints of a service.
 *
 * @property host the `Host` field that selects the route, without a port.
 * @property pathPrefix begins and ends with a slash; the longest one that begins a path wins.
 * @property timeout the longest time that a call is kept waiting, its whole answer included.
 * @property latencyObjective the time within which an answer, or the first event of a stream, is wanted.
 * @property eventGapObjective the longest pause between two events of a stream within its objective; null for other routes.
 * @property priority 0 is the most urgent.
 * @property services one service, or several that share the calls by weight.
 * @property maxAttempts the most endpoints that one call is sent to.
 * @property isPublic no key is asked for.
 * @property isResumable a stream may go on at another endpoint after its last event.
 */
data class ForwardingRoute(
    val route: RouteId,
    val host: String,
    val pathPrefix: String,
    val kind: CallKind,
    val timeout: Duration,
    val latencyObjective: Duration,
    val eventGapObjective: Duration?,
    val priority: Int,
    val services: ImmutableList<WeightedService>,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
) {
    /** Whether a call whose outcome is not known may be sent to another endpoint. */
    val isRepeatable: Boolean
        get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)

    /** Returns the service for a call; [fraction] is a random number from 0 to 1. */
    fun pickService(fraction: Double): String? {
        val totalWeight = services.sumOf { it.weight }
        var rest = fraction * totalWeight
        for (candidate in services) {
            rest -= candidate.weight
            if (rest < 0) return candidate.service
        }
        return services.lastOrNull { it.weight > 0 }?.service
    }
}
