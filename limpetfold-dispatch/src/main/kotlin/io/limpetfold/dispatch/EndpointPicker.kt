package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import java.time.Duration
import kotlin.random.Random

/**
 * Chooses the endpoint of each call. Not safe for concurrent use.
 *
 * Calls with an affinity key go to the first endpoint in rendezvous order whose load is within a bound, so that every router chooses the
 * same one without a message and overflow is cached too. Other calls go to the least loaded endpoint, the own zone first.
 */
class EndpointPicker(
    private val directory: EndpointDirectory,
    private val zone: ZoneId,
    private val policy: PickerPolicy = PickerPolicy(),
    private val random: Random = Random.Default,
) {
    private val states = HashMap<EndpointId, EndpointState>()

    /** Returns an endpoint for [request], or null when none may be used. */
    fun pick(
        request: PickRequest,
        now: Duration,
    ): EndpointState? {
        val usable = directory.usable(request.service, now).filter { it.endpoint !in request.excluded }
        val candidates = inRotation(ofVersion(usable, request.versions).map(::stateOf), now)
        if (candidates.isEmpty()) return null
        val key = request.affinityKey ?: return leastLoaded(candidates)
        return byAffinity(key, candidates)
    }

    /** Counts a call as sent to [state]; [onCallEnded] counts it out again. */
    fun onCallStarted(state: EndpointState) = state.started()

    /** Counts a call out and takes over what it says about the endpoint. */
    fun onCallEnded(
        state: EndpointState,
        outcome: CallOutcome,
        now: Duration,
    ) {
        state.ended()
        when (outcome) {
            CallOutcome.SUCCEEDED -> state.succeeded(now)
            CallOutcome.FAILED -> state.failed(now)
            CallOutcome.REJECTED -> state.full(now)
            CallOutcome.UNREACHABLE -> state.unreachable(now)
            CallOutcome.UNKNOWN -> Unit
        }
    }

    /** Forgets endpoints that the directory no longer holds. */
    fun evictRemoved(now: Duration) {
        val known = directory.all(now).mapTo(HashSet()) { it.endpoint }
        states.keys.removeIf { it !in known }
    }

    private fun ofVersion(
        usable: List<Endpoint>,
        versions: VersionPreference?,
    ): List<Endpoint> {
        if (versions == null) return usable
        val (preferred, others) = usable.partition { (it.version == versions.target) == versions.isTargetPreferred }
        return if (preferred.isEmpty() && versions.isFallbackAllowed) others else preferred
    }

    /** Leaves out ejected endpoints; when all are ejected, the one whose ejection ends first is tried. */
    private fun inRotation(
        usable: List<EndpointState>,
        now: Duration,
    ): List<EndpointState> {
        val open = usable.filter { it.ejectedUntil <= now }
        if (open.isEmpty()) return listOfNotNull(usable.minByOrNull { it.ejectedUntil })
        val typicalShare = open.map { it.failureShare }.sorted()[open.size / 2]
        val bound = maxOf(policy.failureShareBound, 2 * typicalShare)
        return open.filter { it.failureShare <= bound || random.nextDouble() < TRIAL_SHARE }.ifEmpty { open }
    }

    private fun byAffinity(
        key: String,
        candidates: List<EndpointState>,
    ): EndpointState {
        val meanInFlight = candidates.sumOf { it.inFlight }.toDouble() / candidates.size
        val bound = policy.loadBound * meanInFlight + policy.loadMargin
        val ranked = RendezvousHash.rank(key, candidates) { it.endpoint.endpoint.value }
        return ranked.firstOrNull { it.inFlight < bound } ?: ranked.minBy { it.inFlight }
    }

    private fun leastLoaded(candidates: List<EndpointState>): EndpointState = candidates.shuffled(random).minBy(::cost)

    private fun cost(state: EndpointState): Double {
        val load = (state.inFlight + 1.0) / state.endpoint.slots.coerceAtLeast(1)
        val distance = if (state.endpoint.zone == zone) 0.0 else policy.otherZoneLoad
        return load + distance
    }

    private fun stateOf(endpoint: Endpoint): EndpointState {
        val known = states[endpoint.endpoint]
        if (known != null && known.endpoint.startedAtMillis == endpoint.startedAtMillis) {
            known.endpoint = endpoint
            return known
        }
        return EndpointState(endpoint, policy).also { states[endpoint.endpoint] = it }
    }

    private companion object {
        /** An endpoint with a high failure share still gets this part of its calls, so that its recovery is noticed. */
        const val TRIAL_SHARE = 0.05
    }
}
