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
 * Chooses the version of each request on one router, and compares the versions of each running move.
 *
 * The newest object version of a move wins, whether it came from the platform, the controller or a peer. After a restore
 * of the store, a known outcome is kept although the older copy lacks it, and an earlier move does not replace a later one.
 *
 * - Exposure: a request goes to the new version only while this incarnation's grant in the move object is not used up.
 *   Grants are cumulative and their sum never exceeds the allotment in any version of the object, so the bound depends
 *   neither on clocks nor on messages.
 * - Verdict: raised by the local guard or received from a peer. Either withdraws the new version at once and for the
 *   rest of that move.
 * - Deadline: a move that is known as running after its deadline counts as rolled back. A partitioned router therefore
 *   switches to the old version on its own; it uses the new one only if the caller of [choose] says that no old
 *   endpoint is left and no verdict is known.
 * - Completion: a router agrees to it at one object version. From then on its guard raises no verdict until a newer
 *   object version is received, so `Completed` and a verdict of a router that holds exposure exclude each other. If the
 *   guard finds the new version worse in that time, the router sends to the old version until the newer object version
 *   arrives.
 *
 * A router that has just started knows no move: call [maintain] once before serving, so that a completed move is not
 * missed. Safe for concurrent use; [choose] and [record] make no remote calls.
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

    /** For each verdict that is still being distributed, the peers that acknowledged it. */
    private val acknowledgedBy = LinkedHashMap<MoveId, MutableSet<InstanceId>>()
    private var polledAt: TimeMark? = null
    private val pollInterval: Duration =
        policy.pollInterval.toKotlinDuration() * (1.0 + MAX_JITTER * fraction("poll", self.key))

    init {
        peers.registerHandler(RolloutTopics.VERDICT) { _, verdict ->
            withdraw(verdict, isLocal = false)
            Acknowledgement
        }
        peers.registerHandler(RolloutTopics.REPORT) { _, query -> handleReportQuery(query) }
        peers.registerHandler(RolloutTopics.MOVES) { _, _ -> knownMoves() }
    }

    /**
     * Chooses the version for [request]; its outcome must be passed to [record], or the choice to [cancel].
     *
     * @param hasOldEndpoint false when no endpoint of the old version is left.
     * @param configuredAtMillis when the configured active version was published. If that was after the move ended, it
     *   replaces the move's outcome.
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
            if (phase.isFinal &&
                configuredAtMillis > record.endedAtMillis
            ) {
                return VersionChoice(route, request, version = null)
            }
            when (phase) {
                is MovePhase.Running -> choiceDuringMove(move, request, phase.step, verdict)
                MovePhase.Completed -> choiceAfterMove(record, request, isNew = verdict == null)
                is MovePhase.TakenBack -> {
                    val hasNoOutcome = record.phase is MovePhase.Running
                    choiceAfterMove(record, request, isNew = hasNoOutcome && !hasOldEndpoint && verdict == null)
                }
            }
        }

    /** Records how the request of [choice] ended; if it is part of a move, only the first call has an effect. */
    fun record(
        choice: VersionChoice,
        observation: VersionObservation,
    ) {
        val newVerdict =
            synchronized(lock) {
                val move = routes[choice.route]
                if (move == null || choice.move == null) {
                    baselines.getOrPut(choice.route) { RouteBaseline() }.learn(observation)
                    null
                } else if (move.record.id == choice.move) {
                    move.close(choice, observation)
                    raiseVerdictIfWorse(move)
                } else {
                    null
                }
            }
        newVerdict?.let { listener.onWithdrawn(it, isLocal = true) }
    }

    /**
     * Discards [choice] without an outcome, because the end of the request says nothing about the version.
     *
     * @param wasSent false if the request was never sent to an endpoint; its exposure is then returned.
     */
    fun cancel(
        choice: VersionChoice,
        wasSent: Boolean,
    ) = synchronized(lock) {
        val move = routes[choice.route]
        if (move != null && choice.move != null && move.record.id == choice.move) move.cancel(choice, wasSent)
    }

    /** Returns a choice outside of any move, for a request that continues on an endpoint chosen by another router. */
    fun untrackedChoice(
        route: RouteId,
        request: RequestId,
        version: VersionId,
    ): VersionChoice = VersionChoice(route, request, version)

    /**
     * Performs one round; call it about once a second.
     *
     * It records overdue requests as failed, sends verdicts that are not acknowledged, and once per poll interval reads
     * the moves from the platform, or from peers if the platform fails.
     */
    suspend fun maintain() {
        failOverdueRequests()
        sendVerdicts()
        if (polledAt?.let { it.elapsedNow() < pollInterval } == true) return
        MoveCommands.readMoves(store).fold(
            success = { read ->
                polledAt = monotonic.markNow()
                read.moves.forEach { move -> move.value?.let { applySnapshot(MoveSnapshot(it, move.version)) } }
            },
            failure = {
                listener.onError(it)
                readFromPeers()
            },
        )
    }

    /** Sends each verdict concurrently to all connected peers that have not acknowledged it, until its move ends. */
    suspend fun sendVerdicts() {
        val pending =
            synchronized(lock) {
                acknowledgedBy.mapNotNull { (move, acked) ->
                    verdicts[move]?.let {
                        it to
                            acked.toSet()
                    }
                }
            }
        coroutineScope {
            pending
                .flatMap { (verdict, acked) -> (peers.connectedPeers() - acked).map { verdict to it } }
                .map { (verdict, peer) ->
                    async {
                        peers
                            .ask(peer, RolloutTopics.VERDICT, verdict, policy.peerTimeout)
                            .onSuccess { synchronized(lock) { acknowledgedBy[verdict.move]?.add(peer) } }
                    }
                }.awaitAll()
        }
    }

    /** Returns the latest known move of each route. */
    fun moves(): ImmutableList<MoveRecord> = synchronized(lock) { routes.values.map { it.record }.toImmutableList() }

    /** Returns the verdict that withdrew the new version of [move]; null if there is none. */
    fun verdict(move: MoveId): Verdict? = synchronized(lock) { verdicts[move] }

    /** Applies the moves of [query], agrees to completions if possible, and returns the reports of all known moves. */
    internal fun handleReportQuery(query: ReportQuery): RouterReport {
        query.moves.forEach(::applySnapshot)
        return synchronized(lock) {
            for (queried in query.moves) {
                val move = routes[queried.record.route] ?: continue
                val canAgree = queried.record.id in query.completing && move.snapshot.version == queried.version
                if (canAgree && verdicts[queried.record.id] == null) move.agreedVersion = queried.version
            }
            RouterReport(
                self,
                routes.values.map { it.report(effectivePhase(it), verdicts[it.record.id]) },
                routes.values.map { it.snapshot }.filter { it.version.era < query.era },
            )
        }
    }

    /** Applies moves that another router read before a restore of the store, unless a known one replaces them. */
    internal fun applyLostMoves(lost: List<MoveSnapshot>) =
        lost.forEach { snapshot ->
            val isLost =
                synchronized(lock) {
                    val known = routes[snapshot.record.route]?.snapshot
                    val isLater = known != null && snapshot.version > known.version
                    (known == null || isLater || snapshot.isRevertedByRestoreTo(known)).also { if (it) store(snapshot) }
                }
            if (isLost) listener.onMoveSeen(snapshot.record)
        }

    /** Returns the latest known move of each route with the object version at which it was read. */
    internal fun snapshots(): List<MoveSnapshot> = synchronized(lock) { routes.values.map { it.snapshot } }

    private fun effectivePhase(move: RouteMove): MovePhase {
        val phase = move.record.phaseAt(clock.millis())
        val verdict = verdicts[move.record.id]
        return if (verdict != null && phase !is MovePhase.TakenBack) {
            MovePhase.TakenBack(TakeBackReason.RouterVerdict(verdict))
        } else {
            phase
        }
    }

    private fun choiceDuringMove(
        move: RouteMove,
        request: RequestId,
        step: Int,
        verdict: Verdict?,
    ): VersionChoice {
        val record = move.record
        val isWithheld = verdict != null || move.guard.finding != null
        val isSelected = fraction(record.id.value, request.value) < record.weight
        val isNew = !isWithheld && isSelected && move.hasExposure(self, policy.initialInFlightLimit)
        val side = if (isNew) MoveSide.NEW else MoveSide.OLD
        val version = if (isNew) record.newVersion else record.oldVersion
        return VersionChoice(record.route, request, version, record.id, side, isExposed = isNew, step).also(move::open)
    }

    private fun choiceAfterMove(
        record: MoveRecord,
        request: RequestId,
        isNew: Boolean,
    ): VersionChoice =
        if (isNew) {
            VersionChoice(record.route, request, record.newVersion, side = MoveSide.NEW)
        } else {
            VersionChoice(record.route, request, record.oldVersion)
        }

    private fun applySnapshot(snapshot: MoveSnapshot) {
        val newVerdict =
            synchronized(lock) {
                val route = snapshot.record.route
                val known = routes[route]
                when {
                    known != null && known.snapshot.version >= snapshot.version -> return
                    known != null && known.snapshot.isRevertedByRestoreTo(snapshot) -> return
                    else -> store(snapshot)
                }
                if (snapshot.record.phase.isFinal) acknowledgedBy.remove(snapshot.record.id)
                raiseVerdictIfWorse(routes.getValue(route))
            }
        listener.onMoveSeen(snapshot.record)
        newVerdict?.let { listener.onWithdrawn(it, isLocal = true) }
    }

    private fun store(snapshot: MoveSnapshot) {
        val route = snapshot.record.route
        val known = routes[route]
        if (known?.record?.id == snapshot.record.id) {
            known.applySnapshot(snapshot)
        } else {
            routes[route] = RouteMove(snapshot, baselines.remove(route) ?: RouteBaseline(), monotonic)
        }
    }

    /** Raises a verdict if the guard found the new version worse, unless this router agreed to complete the move. */
    private fun raiseVerdictIfWorse(move: RouteMove): Verdict? {
        val record = move.record
        if (record.id in verdicts || move.hasAgreed || record.phaseAt(clock.millis()).isFinal) return null
        val metric = move.guard.finding ?: return null
        return Verdict(
            record.id,
            record.route,
            record.newVersion,
            self.instance,
            metric,
            clock.millis(),
        ).also(::storeVerdict)
    }

    private fun withdraw(
        verdict: Verdict,
        isLocal: Boolean,
    ) {
        val isKnown = synchronized(lock) { (verdict.move in verdicts).also { if (!it) storeVerdict(verdict) } }
        if (!isKnown) listener.onWithdrawn(verdict, isLocal)
    }

    private fun storeVerdict(verdict: Verdict) {
        verdicts[verdict.move] = verdict
        acknowledgedBy[verdict.move] = mutableSetOf()
        val current = routes.values.mapTo(HashSet()) { it.record.id }
        while (verdicts.size > MAX_VERDICTS) {
            val oldest = verdicts.keys.firstOrNull { it !in current } ?: return
            verdicts.remove(oldest)
            acknowledgedBy.remove(oldest)
        }
    }

    private fun knownMoves(): KnownMoves =
        synchronized(lock) { KnownMoves(routes.values.map { it.snapshot }, verdicts.values.toList()) }

    private suspend fun readFromPeers() {
        val responses =
            coroutineScope {
                peers
                    .connectedPeers()
                    .take(MAX_QUERIED_PEERS)
                    .map { async { peers.ask(it, RolloutTopics.MOVES, Acknowledgement, policy.peerTimeout).get() } }
                    .awaitAll()
            }
        responses.filterNotNull().forEach { known ->
            known.moves.forEach(::applySnapshot)
            known.verdicts.forEach { withdraw(it, isLocal = false) }
        }
    }

    private fun failOverdueRequests() {
        val timeout = policy.outcomeTimeout.toKotlinDuration()
        val choices =
            synchronized(lock) {
                routes.values.flatMap { move -> move.pending.filterValues { it.elapsedNow() >= timeout }.keys }
            }
        choices.forEach { record(it, VersionObservation(isSuccess = false)) }
    }

    private companion object {
        const val MAX_JITTER = 0.25
        const val MAX_VERDICTS = 256

        /** The number of connections that a router of a large fleet has. */
        const val MAX_QUERIED_PEERS = 12

        /** The score is reduced to its upper 53 bits, which a Double represents exactly. */
        const val FRACTION_SHIFT = 11

        /** 2^53. */
        const val FRACTION_RANGE = 9007199254740992.0

        /** Returns a value in [0, 1) that is the same on every router. */
        fun fraction(
            key: String,
            candidate: String,
        ): Double = (RendezvousHash.score(key, candidate) ushr FRACTION_SHIFT) / FRACTION_RANGE
    }
}
