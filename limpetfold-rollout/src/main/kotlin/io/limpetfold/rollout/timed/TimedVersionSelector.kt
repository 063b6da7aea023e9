package io.limpetfold.rollout.timed

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.RouteBaseline
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

/**
 * Chooses the version of each call on one router during ordered moves, and compares the new version with the old one.
 *
 * It needs no controller and no lease: the store accepts one final outcome for each order, by a conditional write, and
 * each router applies the deadline on its own. Not safe for concurrent use.
 *
 * @param now monotonic time.
 */
class TimedVersionSelector(
    val self: Incarnation,
    private val now: () -> Duration,
    private val random: Random = Random.Default,
    private val policy: TimedMovePolicy = TimedMovePolicy(),
) {
    private val moves = HashMap<String, TimedMove>()
    private val baselines = HashMap<RouteId, RouteBaseline>()
    private val withdrawn = WithdrawnVersions()

    /** Moves that were replaced or removed; a restored store may hold their orders again. */
    private val endedMoves = EndedMoves()

    private val runningMoves: List<TimedMove> get() =
        moves.values.filter {
            !it.isSettled &&
                (it.outcome == null || it.isInStore)
        }

    /** Whether any known move has no final outcome in the store yet. */
    val hasRunningMoves: Boolean get() = runningMoves.isNotEmpty()

    /** Whether a version that was withdrawn still has endpoints, as of the last [updatePresence]. */
    val isWithdrawnVersionPresent: Boolean get() = withdrawn.isAnyPresent

    /**
     * Applies an order as read from the store; a changed target starts a new move. An order that was known before a
     * restore of the store continues its move; one that was read before a restore that is known has no effect.
     */
    fun applyOrder(order: MoveOrder) {
        recordWithdrawals()
        val known = moves[order.service]
        if (known != null && order.objectVersion.era < known.order.objectVersion.era) return
        if (known == null || isOther(order, known.order)) {
            startOrResume(order)
        } else {
            known.applyOrder(order, now())
        }
        // A completed move ends a withdrawal of its version.
        val outcome = moves[order.service]?.outcome
        if (order.status == MoveStatus.COMPLETED && outcome?.status == MoveStatus.COMPLETED) {
            recordTrial(order, order.target, order.status, overridesEarlierEras = true)
        }
        order.previous?.takeIf { it.status.isFinal }?.let { recordTrial(order, it.target, it.status) }
    }

    private fun isOther(
        order: MoveOrder,
        known: MoveOrder,
    ): Boolean {
        val isChangedByRestore =
            order.objectVersion.era > known.objectVersion.era && !order.isRestored(known)
        return order.target != known.target || isChangedByRestore
    }

    private fun startOrResume(order: MoveOrder) {
        moves[order.service]?.let { endedMoves.add(it, now()) }
        val resumed = endedMoves.takeRestored(order)
        if (resumed != null) {
            moves[order.service] = resumed.apply { applyOrder(order, now()) }
            return
        }
        moves[order.service] = TimedMove(order, now(), ::baseline, policy)
        // An order that names a version again is a new trial of it.
        recordTrial(order, order.target, order.status, endedMoves.hasOtherOrder(order))
    }

    /** Discards the move of [service], whose order was removed from the store. */
    fun removeOrder(service: String) {
        recordWithdrawals()
        moves.remove(service)?.let { endedMoves.add(it, now()) }
    }

    /**
     * Records that a listing as of [position] lacks the order of [service]. The move is discarded, but if the order was
     * read before a restore of the store, only when the order is still missing after [MISSING_RETENTION]. A listing from
     * before the last reading of the order has no effect.
     *
     * @return whether the move was discarded.
     */
    fun onOrderMissing(
        service: String,
        position: ObjectVersion,
    ): Boolean {
        val move = moves[service] ?: return true
        val isOutdated = position < move.order.objectVersion
        if (isOutdated) return false
        val isRestored = position.era > move.order.objectVersion.era
        if (isRestored) move.onMissing(now()) else removeOrder(service)
        return !isRestored
    }

    /**
     * Returns the versions of [service] that were withdrawn. They must get no calls while another version has endpoints,
     * also when the order was replaced or removed, until an order names them again.
     */
    fun withdrawnVersions(service: String): Set<VersionId> {
        recordWithdrawals()
        return withdrawn.of(service).mapTo(HashSet()) { it.version }
    }

    /** Returns what is known about the last trials of versions, to be sent to the other routers. */
    fun trials(): List<VersionTrial> {
        recordWithdrawals()
        return withdrawn.trials
    }

    /** Applies the trials that another router knows. */
    fun applyTrials(trials: List<VersionTrial>) = trials.forEach { withdrawn.add(it, now()) }

    /** Records which versions have endpoints; a withdrawn version without any is forgotten after some time. */
    fun updatePresence(present: Set<ServiceVersion>) {
        val missing =
            moves.filterValues { move ->
                move.missingSince.let { it != null && now() - it > MISSING_RETENTION }
            }
        missing.keys.forEach(::removeOrder)
        endedMoves.removeExpired(now())
        withdrawn.update(present, now())
    }

    /** Chooses the version of a call of [service]; null when the service has no ordered move. */
    fun choose(service: String): TimedVersionChoice? {
        val move = moves[service] ?: return null
        val isNew = random.nextDouble() < move.weightAt(now())
        return TimedVersionChoice(
            service,
            move.order.target,
            if (isNew) MoveSide.NEW else MoveSide.OLD,
            isWithdrawn =
                move.withdrawalReason != null,
        )
    }

    /** Records that the call of [choice] was sent. */
    fun onCallStarted(choice: TimedVersionChoice?) {
        choice?.let { moveOf(it) }?.onCallStarted(choice.side)
    }

    /**
     * Records that a call ended.
     *
     * @param choice null when no move applied to the call; its observation then updates the baseline of [route].
     * @param observation null when the end of the call says nothing about the version.
     */
    fun onCallEnded(
        choice: TimedVersionChoice?,
        route: RouteId,
        observation: VersionObservation?,
    ) {
        val move = choice?.let { moveOf(it) }
        when {
            move != null -> move.onCallEnded(choice.side, route, observation)
            // A call to the new version of a move that is over says nothing about the version that serves now.
            observation != null && choice?.side != MoveSide.NEW -> baseline(route).learn(observation)
        }
    }

    /** Applies the reports of another router, [router]; those on other targets are ignored. */
    fun applyReports(
        router: Incarnation,
        reports: List<TimedMoveReport>,
    ) = reports.forEach { report ->
        moves[report.service]?.takeIf { it.order.target == report.target }?.applyReport(router, report, now())
    }

    /** Returns the reports of the running moves, to be sent to the other routers. */
    fun reports(): List<TimedMoveReport> = runningMoves.map { it.report(now()) }

    /**
     * Returns the reports of the running moves and of those in [asked], the running moves of another router, whose
     * outcome this router knows.
     */
    fun reportsFor(asked: List<TimedMoveReport>): List<TimedMoveReport> {
        val own = reports()
        val others = asked.filter { wanted -> own.none { it.service == wanted.service && it.target == wanted.target } }
        return own + others.mapNotNull { wanted -> decidedMove(wanted.service, wanted.target)?.report(now()) }
    }

    /** Returns the report of the move of [order], to be sent to the other routers as soon as its outcome is stored. */
    fun outcomeReport(order: MoveOrder): TimedMoveReport? = decidedMove(order.service, order.target)?.report(now())

    private fun decidedMove(
        service: String,
        target: VersionId,
    ): TimedMove? {
        val current = moves[service]?.takeIf { it.order.target == target }
        return (current ?: endedMoves.find(service, target))?.takeIf { it.outcome != null }
    }

    /** Evaluates all running moves and returns the statuses to store now; [others] are the other running routers. */
    fun decide(others: Set<Incarnation>): List<TimedMoveDecision> {
        val rank = others.count { it < self }
        return runningMoves.mapNotNull { move ->
            move.evaluateReports(self, now())
            move.decide(now(), rank, others)?.let { TimedMoveDecision(move.order, it, move.withdrawalReason) }
        }
    }

    private fun recordWithdrawals() =
        moves.values.filter { it.isWithdrawn }.forEach {
            recordTrial(it.order, it.order.target, MoveStatus.TAKEN_BACK)
        }

    private fun recordTrial(
        order: MoveOrder,
        version: VersionId,
        status: MoveStatus?,
        overridesEarlierEras: Boolean = false,
    ) = withdrawn.add(
        VersionTrial(
            ServiceVersion(order.service, version),
            order.objectVersion,
            status == MoveStatus.TAKEN_BACK,
            overridesEarlierEras,
        ),
        now(),
    )

    private fun baseline(route: RouteId) = baselines.getOrPut(route) { RouteBaseline() }

    private fun moveOf(choice: TimedVersionChoice): TimedMove? =
        moves[choice.service]?.takeIf {
            it.order.target ==
                choice.target
        }

    companion object {
        /** Time within which an operator has written an order again that a restored store lacks. */
        val MISSING_RETENTION: Duration = Duration.ofMinutes(2)
    }
}
