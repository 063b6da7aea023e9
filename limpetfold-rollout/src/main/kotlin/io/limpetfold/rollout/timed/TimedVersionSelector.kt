package io.limpetfold.rollout.timed

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RouteId
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.RouteBaseline
import io.limpetfold.rollout.VersionObservation
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

    private val runningMoves: List<TimedMove> get() = moves.values.filter { !it.hasFinalOutcome }

    /** Whether any known move has no final outcome yet. */
    val hasRunningMoves: Boolean get() = runningMoves.isNotEmpty()

    /** Applies an order as read from the store; a changed target starts a new move. */
    fun applyOrder(order: MoveOrder) {
        val known = moves[order.service]
        if (known != null && known.order.target == order.target) {
            known.applyOrder(order)
        } else {
            moves[order.service] = TimedMove(order, now(), ::baseline, policy)
        }
    }

    /** Discards the move of [service], whose order was removed from the store. */
    fun removeOrder(service: String) {
        moves.remove(service)
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
            observation != null -> baseline(route).learn(observation)
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

    /** Evaluates all running moves and returns the statuses to store now; [others] are the other running routers. */
    fun decide(others: Set<Incarnation>): List<TimedMoveDecision> {
        val rank = others.count { it < self }
        return runningMoves.mapNotNull { move ->
            move.evaluateReports(self, now())
            move.decide(now(), rank, others)?.let { TimedMoveDecision(move.order, it, move.withdrawalReason) }
        }
    }

    private fun baseline(route: RouteId) = baselines.getOrPut(route) { RouteBaseline() }

    private fun moveOf(choice: TimedVersionChoice): TimedMove? =
        moves[choice.service]?.takeIf {
            it.order.target ==
                choice.target
        }
}
