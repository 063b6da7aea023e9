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
 * Calls with an affinity key go to the first endpoint in rendezvous order whose load is below a bound. Every router
 * thus chooses the same endpoint without communication, and overflow goes to the same next endpoint, which caches the
 * prompt too. Other calls go to the least loaded endpoint, with a preference for the router's own zone.
 */
class EndpointPicker(
    private val directory: EndpointDirectory,
    private val zone: ZoneId,
    private val policy: PickerPolicy = PickerPolicy(),
    private val random: Random = Random.Default,
) {
    private val states = HashMap<EndpointId, EndpointState>()

    /** Returns an endpoint for [request], or null when no endpoint may be used. */
    fun pick(
        request: PickRequest,
        now: Duration,
    ): EndpointState? {
        val usable = directory.usable(request.service, now).filter { it.id !in request.excluded }
        val candidates = inRotation(ofVersion(usable, request.versions).map(::stateOf), now)
        if (candidates.isEmpty()) return null
        val key = request.affinityKey ?: return leastLoaded(candidates)
        return byAffinity(key, candidates)
    }

    /** Counts a call as in flight at [state], until [onCallEnded]. */
    fun onCallStarted(state: EndpointState) = state.onCallStarted()

    /** Counts a call as ended, and updates ejection and failure share from its [outcome]. */
    fun onCallEnded(
        state: EndpointState,
        outcome: CallOutcome,
        now: Duration,
    ) {
        state.onCallEnded()
        when (outcome) {
            CallOutcome.SUCCEEDED -> state.onSucceeded(now)
            CallOutcome.FAILED -> state.onFailed(now)
            CallOutcome.REJECTED -> state.onRejected(now)
            CallOutcome.UNREACHABLE -> state.onUnreachable(now)
            CallOutcome.UNKNOWN -> Unit
        }
    }

    /** Evicts the state of endpoints that are no longer in the directory. */
    fun evictRemoved(now: Duration) {
        val known = directory.all(now).mapTo(HashSet()) { it.id }
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

    /**
     * Leaves out ejected endpoints and most of the time those with a high failure share. When all are ejected, returns
     * the one whose ejection ends first.
     */
    private fun inRotation(
        usable: List<EndpointState>,
        now: Duration,
    ): List<EndpointState> {
        val notEjected = usable.filter { it.ejectedUntil <= now }
        if (notEjected.isEmpty()) return listOfNotNull(usable.minByOrNull { it.ejectedUntil })
        val medianFailureShare = notEjected.map { it.failureShare }.sorted()[notEjected.size / 2]
        val maxFailureShare = maxOf(policy.maxFailureShare, 2 * medianFailureShare)
        return notEjected
            .filter {
                it.failureShare <= maxFailureShare || random.nextDouble() < PROBE_PROBABILITY
            }.ifEmpty { notEjected }
    }

    private fun byAffinity(
        key: String,
        candidates: List<EndpointState>,
    ): EndpointState {
        val meanInFlight = candidates.sumOf { it.inFlight }.toDouble() / candidates.size
        val maxInFlight = policy.maxLoadFactor * meanInFlight + policy.loadMargin
        val ranked = RendezvousHash.rank(key, candidates) { it.endpoint.id.value }
        return ranked.firstOrNull { it.inFlight < maxInFlight } ?: ranked.minBy { it.inFlight }
    }

    private fun leastLoaded(candidates: List<EndpointState>): EndpointState = candidates.shuffled(random).minBy(::cost)

    private fun cost(state: EndpointState): Double {
        val load = (state.inFlight + 1.0) / state.endpoint.slots.coerceAtLeast(1)
        val zonePenalty = if (state.endpoint.zone == zone) 0.0 else policy.otherZonePenalty
        return load + zonePenalty
    }

    private fun stateOf(endpoint: Endpoint): EndpointState {
        val known = states[endpoint.id]
        if (known != null && known.endpoint.startedAtMillis == endpoint.startedAtMillis) {
            known.endpoint = endpoint
            return known
        }
        return EndpointState(endpoint, policy).also { states[endpoint.id] = it }
    }

    private companion object {
        /**
         * Probability with which an endpoint with a high failure share is still a candidate, so that a recovery is
         * noticed.
         */
        const val PROBE_PROBABILITY = 0.05
    }
}
