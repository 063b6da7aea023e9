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
    share: CallShare = CallShare.WHOLE,
) {
    /** The limits that endpoints stated, with the pace of this router. */
    val callLimits = EndpointCallLimits(share, random)

    private val states = HashMap<EndpointId, EndpointState>()

    /** Returns an endpoint for [request], or null when no endpoint may be used. */
    fun pick(
        request: PickRequest,
        now: Duration,
    ): EndpointState? {
        val usable = usable(request.service, request.avoidedVersions, now)
        val untried = usable.filter { it.endpoint.id !in request.excluded }
        val inRotation = inRotation(ofVersion(untried, request.versions, now), now)
        if (inRotation.isEmpty()) return null
        val candidates = withConnectionLeft(inRotation, request.connectionShare)
        val key = request.affinityKey ?: return leastLoaded(candidates, now)
        return byAffinity(key, candidates, now)
    }

    /**
     * Whether the endpoint of [state], which was chosen for [request], may still get that call: it has not left, paused or
     * been replaced since, and its version is not withdrawn. Endpoints that were tried before count as little as in [pick],
     * since the preferred version may be used up.
     */
    fun isInUse(
        state: EndpointState,
        request: PickRequest,
        now: Duration,
    ): Boolean {
        val usable = usable(request.service, request.avoidedVersions, now)
        val candidates = usable.filter { it === state || it.endpoint.id !in request.excluded }
        return state in ofVersion(candidates, request.versions, now)
    }

    /** Whether the endpoint of [state] may still take the call of [request], which may have been sent to it before. */
    fun mayTake(
        state: EndpointState,
        request: PickRequest,
        now: Duration,
    ): Boolean {
        val usable = usable(request.service, request.avoidedVersions, now)
        return state in ofVersion(usable, request.versions, now) && state.ejectedUntil <= now
    }

    /**
     * When the first endpoint of [service] takes a call again, if all endpoints that may be used asked for a pause or have
     * a limit that is used up; null if one takes calls now or none may be used. [avoidedVersions] are those of
     * [PickRequest].
     */
    fun resumesAt(
        service: String,
        now: Duration,
        avoidedVersions: Set<String> = emptySet(),
    ): Duration? =
        usable(service, avoidedVersions, now).minOfOrNull { callLimits.retryAt(it, now) }?.takeIf { it > now }

    /** Excludes the endpoint of [state], which said that it is leaving, for as long as this incarnation is known. */
    fun onLeaving(
        state: EndpointState,
        now: Duration,
    ) = state.onLeaving(now)

    /** Excludes the endpoint of [state] up to [until]; a later end of an earlier pause stays in effect. */
    fun pause(
        state: EndpointState,
        until: Duration,
    ) = state.pause(until)

    /** The endpoints that have stated a limit, or have ended one. */
    fun statesWithCallLimit(): List<EndpointState> = states.values.filter { it.callLimit != null }

    /** Returns the state of the endpoint [id]; null if it is not in the directory. */
    fun state(
        id: EndpointId,
        now: Duration,
    ): EndpointState? = directory.all(now).firstOrNull { it.id == id }?.let(::stateOf)

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

    /**
     * Evicts the state of endpoints that are no longer in the directory. That of a leaving endpoint, or of one that asked
     * for a pause or stated a limit, is kept for a while, because its entry may be back after an outage of the store.
     */
    fun evictRemoved(now: Duration) {
        val known = directory.all(now).mapTo(HashSet()) { it.id }
        states.values.removeIf { it.endpoint.id !in known && !isNoticeRetained(it, now) }
    }

    private fun isNoticeRetained(
        state: EndpointState,
        now: Duration,
    ): Boolean {
        val notedAt = state.leavingSince ?: state.callLimit?.takeIf { it.callsPerSecond != null }?.statedAt
        return state.pausedUntil > now || (notedAt != null && now - notedAt < policy.noticeRetention)
    }

    /**
     * The endpoints of [service] that are in the directory and have not said that they are leaving; those of
     * [avoidedVersions] only if there are no others.
     */
    private fun usable(
        service: String,
        avoidedVersions: Set<String>,
        now: Duration,
    ): List<EndpointState> {
        val all = directory.usable(service, now).map(::stateOf).filter { it.leavingSince == null }
        return all.filter { it.endpoint.version !in avoidedVersions }.ifEmpty { all }
    }

    /**
     * Returns the endpoints that may take the call now. Calls of the old version wait for the end of a pause of its
     * endpoints, because they would expose the new version to more calls than planned.
     */
    private fun ofVersion(
        usable: List<EndpointState>,
        versions: VersionPreference?,
        now: Duration,
    ): List<EndpointState> {
        val available = usable.filter { callLimits.availableAt(it, now) <= now }
        if (versions == null) return available
        val isPreferred = { state: EndpointState ->
            (state.endpoint.version == versions.target) == versions.isTargetPreferred
        }
        val isEmpty = if (versions.isTargetPreferred) available.none(isPreferred) else usable.none(isPreferred)
        return if (isEmpty && versions.isFallbackAllowed) available else available.filter(isPreferred)
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

    /**
     * Leaves out endpoints at which the router has used up [share]; returns all when it has at each, because the other
     * routers may use less than theirs. A router may have as many calls at an endpoint as this has slots, since with
     * few callers one router may have them all.
     */
    private fun withConnectionLeft(
        candidates: List<EndpointState>,
        share: Int?,
    ): List<EndpointState> {
        if (share == null) return candidates
        return candidates.filter { it.inFlight < maxOf(share, it.endpoint.slots) }.ifEmpty { candidates }
    }

    private fun byAffinity(
        key: String,
        candidates: List<EndpointState>,
        now: Duration,
    ): EndpointState {
        val loads = candidates.associateWith { it.inFlight * coldFactor(it, now) }
        val maxLoad = policy.maxLoadFactor * loads.values.average() + policy.loadMargin
        val ranked = RendezvousHash.rank(key, candidates) { it.endpoint.id.value }
        return ranked.firstOrNull { loads.getValue(it) < maxLoad } ?: ranked.minBy { loads.getValue(it) }
    }

    private fun leastLoaded(
        candidates: List<EndpointState>,
        now: Duration,
    ): EndpointState = candidates.shuffled(random).minBy { cost(it, now) }

    /** How much more a call counts at an endpoint that is slow after its start. */
    private fun coldFactor(
        state: EndpointState,
        now: Duration,
    ): Double = if (directory.isCold(state.endpoint, now)) policy.coldLoadFactor else 1.0

    private fun cost(
        state: EndpointState,
        now: Duration,
    ): Double {
        val load = (state.inFlight + 1) * coldFactor(state, now) / state.endpoint.slots.coerceAtLeast(1)
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
