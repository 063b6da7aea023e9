package io.limpetfold.rollout

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.ObjectStore
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.time.InstantSource
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Chooses the version of each request on one router, and judges the new version of each running move.
 *
 * The newest object version of a move wins, whether it came from the platform, the controller or a peer.
 *
 * - Exposure: a request goes to the new version only while this incarnation's grant in the move object lasts. Grants are cumulative and
 *   their sum never exceeds the allotment in any version of the object, so neither clocks nor messages bear on the bound.
 * - Verdict: found by the guard here, or received. Either withdraws the version at once and for the rest of that move.
 * - Deadline: a move seen as running after its deadline counts as rolled back. A router that is cut off therefore turns to the old version
 *   on its own, and to the new one only when the caller says that no old endpoint is left and no verdict is known.
 * - Completion: a router agrees to it at one object version. From then on its guard raises no verdict until a newer version is seen, so
 *   `Completed` and a verdict of a router that holds exposure exclude each other. If the guard finds the version worse in that time, the
 *   router sends to the old version until the newer version arrives.
 *
 * A router that has just started knows no move: call [maintain] once before serving, so that a completed move is not missed. Safe for concurrent
 * use; [choose] and [record] make no calls.
 */
class VersionSelector(
    private val store: ObjectStore,
    private val self: Incarnation,
    private val peers: PeerNetwork,
    private val clock: InstantSource,
    private val monotonic: TimeSource,
    private val policy: VersionSelectorPolicy = VersionSelectorPolicy(),
    private val listener: RolloutListener = RolloutListener.NONE,
) {
    private val lock = Any()
    private val routes = HashMap<RouteId, RouteMove>()
    private val verdicts = LinkedHashMap<MoveId, Verdict>()
    private val baselines = HashMap<RouteId, RouteBaseline>()
    private val unsent = LinkedHashMap<MoveId, MutableSet<InstanceId>>()
    private var polledAt: TimeMark? = null
    private val pollInterval: Duration = policy.pollInterval.toKotlinDuration() * (1.0 + MAX_JITTER * fraction("poll", self.key))

    init {
        peers.registerHandler(RolloutTopics.VERDICT) { _, verdict ->
            withdraw(verdict, isLocal = false)
            Acknowledgement
        }
        peers.registerHandler(RolloutTopics.REPORT) { _, query -> answer(query) }
        peers.registerHandler(RolloutTopics.MOVES) { _, _ -> knownMoves() }
    }

    /**
     * Chooses the version for [request]; report how it ended to [record].
     *
     * @param hasOldEndpoint false when no endpoint of the old version is left.
     * @param configuredAtMillis when the configured active version was published; published after a move ended, it replaces the move's outcome.
     */
    fun choose(
        route: RouteId,
        request: RequestId,
        hasOldEndpoint: Boolean = true,
        configuredAtMillis: Long = 0,
    ): VersionChoice =
        synchronized(lock) {
            val move = routes[route] ?: return VersionChoice(route, request, version = null)
            move.countRequest()
            val record = move.record
            val verdict = verdicts[record.id]
            val phase = record.phaseAt(clock.millis())
            if (phase.isFinal && configuredAtMillis > record.endedAtMillis) return VersionChoice(route, request, version = null)
            when (phase) {
                is MovePhase.Running -> chooseRunning(move, request, phase.step, verdict)
                MovePhase.Completed -> ended(record, request, isNew = verdict == null)
                is MovePhase.TakenBack -> {
                    val isUndecided = record.phase is MovePhase.Running
                    ended(record, request, isNew = isUndecided && !hasOldEndpoint && verdict == null)
                }
            }
        }

    /** Records how the request of [choice] ended; a second call for one choice has no effect. */
    fun record(
        choice: VersionChoice,
        observation: VersionObservation,
    ) {
        val found =
            synchronized(lock) {
                val move = routes[choice.route]
                if (move == null || choice.move == null) {
                    baselines.getOrPut(choice.route) { RouteBaseline() }.learn(observation)
                    null
                } else if (move.record.id == choice.move) {
                    move.close(choice, observation)
                    judge(move)
                } else {
                    null
                }
            }
        found?.let { listener.onWithdrawn(it, isLocal = true) }
    }

    /**
     * Closes [choice] without an outcome, because the request's end says nothing about the version.
     *
     * @param wasSent false when the request never went to an endpoint; its exposure can then be used again.
     */
    fun cancel(
        choice: VersionChoice,
        wasSent: Boolean,
    ) = synchronized(lock) {
        val move = routes[choice.route]
        if (move != null && choice.move != null && move.record.id == choice.move) move.cancel(choice, wasSent)
    }

    /** A choice that is not part of any move, for a request that continues at an endpoint chosen by another router. */
    fun untrackedChoice(
        route: RouteId,
        request: RequestId,
        version: VersionId,
    ): VersionChoice = VersionChoice(route, request, version)

    /** Performs one round: overdue requests, unsent verdicts, and a read of the moves from the platform or else from peers. */
    suspend fun maintain() {
        closeOverdue()
        sendVerdicts()
        if (polledAt?.let { it.elapsedNow() < pollInterval } == true) return
        MoveCommands.readMoves(store).fold(
            success = { moves ->
                polledAt = monotonic.markNow()
                moves.forEach { move -> move.value?.let { adopt(MoveSnapshot(it, move.version)) } }
            },
            failure = {
                listener.onError(it)
                askPeers()
            },
        )
    }

    /** Sends each known verdict to every reachable peer that has not acknowledged it, all at the same time. */
    suspend fun sendVerdicts() {
        val due = synchronized(lock) { unsent.mapNotNull { (move, done) -> verdicts[move]?.let { it to done.toSet() } } }
        coroutineScope {
            due
                .flatMap { (verdict, done) -> (peers.connectedPeers() - done).map { verdict to it } }
                .map { (verdict, peer) ->
                    async {
                        peers
                            .ask(peer, RolloutTopics.VERDICT, verdict, policy.peerTimeout)
                            .onSuccess { synchronized(lock) { unsent[verdict.move]?.add(peer) } }
                    }
                }.awaitAll()
        }
    }

    /** The moves as this router knows them. */
    fun moves(): ImmutableList<MoveRecord> = synchronized(lock) { routes.values.map { it.record }.toImmutableList() }

    /** The verdict that withdrew the new version of [move]; null when there is none. */
    fun verdict(move: MoveId): Verdict? = synchronized(lock) { verdicts[move] }

    internal fun answer(query: ReportQuery): RouterReport {
        query.moves.forEach(::adopt)
        return synchronized(lock) {
            for (asked in query.moves) {
                val move = routes[asked.record.route] ?: continue
                val isAgreeable = asked.record.id in query.completing && move.snapshot.version == asked.version
                if (isAgreeable && verdicts[asked.record.id] == null) move.agreedAt = asked.version
            }
            RouterReport(self, routes.values.map { it.report(inForce(it), verdicts[it.record.id]) })
        }
    }

    private fun inForce(move: RouteMove): MovePhase {
        val phase = move.record.phaseAt(clock.millis())
        val verdict = verdicts[move.record.id]
        return if (verdict != null && phase !is MovePhase.TakenBack) {
            MovePhase.TakenBack(TakeBackReason.RouterVerdict(verdict))
        } else {
            phase
        }
    }

    private fun chooseRunning(
        move: RouteMove,
        request: RequestId,
        step: Int,
        verdict: Verdict?,
    ): VersionChoice {
        val record = move.record
        val isHeld = verdict != null || move.guard.finding != null
        val isDrawn = fraction(record.id.value, request.value) < record.weight
        val isNew = !isHeld && isDrawn && move.hasExposure(self, policy.leastInFlight)
        val side = if (isNew) MoveSide.NEW else MoveSide.OLD
        val version = if (isNew) record.newVersion else record.oldVersion
        return VersionChoice(record.route, request, version, record.id, side, isExposed = isNew, step).also(move::open)
    }

    private fun ended(
        record: MoveRecord,
        request: RequestId,
        isNew: Boolean,
    ): VersionChoice =
        if (isNew) {
            VersionChoice(record.route, request, record.newVersion, side = MoveSide.NEW)
        } else {
            VersionChoice(record.route, request, record.oldVersion)
        }

    private fun adopt(snapshot: MoveSnapshot) {
        val found =
            synchronized(lock) {
                val route = snapshot.record.route
                val known = routes[route]
                when {
                    known != null && known.snapshot.version >= snapshot.version -> return
                    known != null && known.record.id == snapshot.record.id -> known.adopt(snapshot)
                    else -> {
                        routes[route] = RouteMove(snapshot, baselines.remove(route) ?: RouteBaseline(), monotonic)
                    }
                }
                if (snapshot.record.phase.isFinal) unsent.remove(snapshot.record.id)
                judge(routes.getValue(route))
            }
        listener.onMoveSeen(snapshot.record)
        found?.let { listener.onWithdrawn(it, isLocal = true) }
    }

    /** Turns a finding of the guard into a verdict, unless this router agreed to complete the move at the version it acts on. */
    private fun judge(move: RouteMove): Verdict? {
        val record = move.record
        if (record.id in verdicts || move.hasAgreed || record.phaseAt(clock.millis()).isFinal) return null
        val metric = move.guard.finding ?: return null
        return Verdict(record.id, record.route, record.newVersion, self.instance, metric, clock.millis()).also(::keep)
    }

    private fun withdraw(
        verdict: Verdict,
        isLocal: Boolean,
    ) {
        val isKnown = synchronized(lock) { (verdict.move in verdicts).also { if (!it) keep(verdict) } }
        if (!isKnown) listener.onWithdrawn(verdict, isLocal)
    }

    private fun keep(verdict: Verdict) {
        verdicts[verdict.move] = verdict
        unsent[verdict.move] = mutableSetOf()
        val current = routes.values.mapTo(HashSet()) { it.record.id }
        while (verdicts.size > MAX_VERDICTS) {
            val oldest = verdicts.keys.firstOrNull { it !in current } ?: return
            verdicts.remove(oldest)
            unsent.remove(oldest)
        }
    }

    private fun knownMoves(): KnownMoves =
        synchronized(lock) { KnownMoves(routes.values.map { it.snapshot }, verdicts.values.toList()) }

    private suspend fun askPeers() {
        val answers =
            coroutineScope {
                peers
                    .connectedPeers()
                    .take(MAX_ASKED_PEERS)
                    .map { async { peers.ask(it, RolloutTopics.MOVES, Acknowledgement, policy.peerTimeout).get() } }
                    .awaitAll()
            }
        answers.filterNotNull().forEach { known ->
            known.moves.forEach(::adopt)
            known.verdicts.forEach { withdraw(it, isLocal = false) }
        }
    }

    private fun closeOverdue() {
        val overdue = policy.outcomeTimeout.toKotlinDuration()
        val choices =
            synchronized(lock) {
                routes.values.flatMap { move -> move.pending.filterValues { it.elapsedNow() >= overdue }.keys }
            }
        choices.forEach { record(it, VersionObservation(isSuccess = false)) }
    }

    private companion object {
        const val MAX_JITTER = 0.25
        const val MAX_VERDICTS = 256

        /** The number of connections of a member of a large fleet. */
        const val MAX_ASKED_PEERS = 12
        const val FRACTION_SHIFT = 11
        const val FRACTION_RANGE = 9007199254740992.0

        /** Returns a value in [0, 1) that is the same on every router. */
        fun fraction(
            key: String,
            candidate: String,
        ): Double = (RendezvousHash.score(key, candidate) ushr FRACTION_SHIFT) / FRACTION_RANGE
    }
}
