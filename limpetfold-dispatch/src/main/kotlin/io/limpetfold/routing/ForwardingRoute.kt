package io.limpetfold.routing

import io.limpetfold.core.RouteId
import kotlinx.collections.immutable.ImmutableList
import java.time.Duration

/**
 * A route whose calls are forwarded unchanged to the endpoints of its services.
 *
 * @property host the `Host` header that selects the route, without a port.
 * @property pathPrefix begins and ends with a slash; of several matching routes the one with the longest prefix is
 * used.
 * @property timeout time limit of a call, including its whole response.
 * @property latencyObjective objective for the time to the response, or to the first event of a stream.
 * @property eventGapObjective objective for the time between two events of a stream; null for other routes.
 * @property priority 0 is the most urgent.
 * @property services one service, or several among which calls are divided by weight.
 * @property maxAttempts maximum number of endpoints that one call is sent to.
 * @property isPublic whether calls need no key.
 * @property isResumable whether an interrupted stream may be resumed at another endpoint after the last event received.
 * @property hasAffinity whether calls that share a prompt part prefer the same endpoint.
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
    val hasAffinity: Boolean = true,
) {
    /** Whether a call with an unknown outcome may be retried at another endpoint. */
    val isRetryable: Boolean
        get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)

    /**
     * Returns a service chosen by weight among those that are [usable], or null when none of these has a positive weight;
     * [fraction] is a random number in [0, 1).
     */
    fun pickService(
        fraction: Double,
        usable: (service: String) -> Boolean = { true },
    ): String? {
        val candidates = services.filter { usable(it.service) }
        val totalWeight = candidates.sumOf { it.weight }
        var remaining = fraction * totalWeight
        for (candidate in candidates) {
            remaining -= candidate.weight
            if (remaining < 0) return candidate.service
        }
        return candidates.lastOrNull { it.weight > 0 }?.service
    }
}
