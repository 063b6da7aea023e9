package io.limpetfold.rollout.timed

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RouteId
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.RouteBaseline
import io.limpetfold.rollout.VersionObservation
import java.time.Duration
import kotlin.random.Random

/**
 * The ordered moves of all services on one router: chooses the version of each call and judges the new one.
 *
 * Needs no controller and no lease: the store takes one final outcome for each order, by a conditional write, and each router keeps the
 * deadline by itself. Not safe for concurrent use.
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

    private val running: List<TimedMove> get() = moves.values.filter { !it.hasEnded }

    /** Whether a move is known that has no final outcome. */
    val hasRunningMoves: Boolean get() = running.isNotEmpty()

    /** Takes over an order as read from the store; a new target is a new move. */
    fun applyOrder(order: MoveOrder) {
        val known = moves[order.service]
        if (known != null && known.order.target == order.target) {
            known.seen(order)
        } else {
            moves[order.service] = TimedMove(order, now(), ::baseline, policy)
        }
    }

    /** Forgets the move of [service]: its order was removed. */
    fun removeOrder(service: String) {
        moves.remove(service)
    }

    /** Chooses the version of a call of [service]; null when no move bears on it. */
    fun choose(service: String): TimedVersionChoice? {
        val move = moves[service] ?: return null
        val isNew = random.nextDouble() < move.weightAt(now())
        return TimedVersionChoice(service, move.order.target, if (isNew) MoveSide.NEW else MoveSide.OLD, isWithdrawn = move.withdrawalReason != null)
    }

    /** Counts a call of [choice] as sent. */
    fun onCallStarted(choice: TimedVersionChoice?) {
        choice?.let { moveOf(it) }?.started(choice.side)
    }

    /** Counts a call out; [observation] is null when its end says nothing about the version. */
    fun onCallEnded(
        choice: TimedVersionChoice?,
        route: RouteId,
        observation: VersionObservation?,
    ) {
        val move = choice?.let { moveOf(it) }
        when {
            move != null -> move.ended(choice.side, route, observation)
            observation != null -> baseline(route).learn(observation)
        }
    }

    /** Takes over what [router] reports. */
    fun applyReports(
        router: Incarnation,
        reports: List<TimedMoveReport>,
    ) = reports.forEach { report ->
        moves[report.service]?.takeIf { it.order.target == report.target }?.applyReport(router, report, now())
    }

    /** What this router tells the others about its running moves. */
    fun reports(): List<TimedMoveReport> = running.map { it.report(now()) }

    /** Judges all running moves and returns the outcomes that are to be stored now; [others] are the other routers that run. */
    fun decide(others: Set<Incarnation>): List<TimedMoveDecision> {
        val rank = others.count { it < self }
        return running.mapNotNull { move ->
            move.judge(self, now())
            move.decide(now(), rank, others)?.let { TimedMoveDecision(move.order, it, move.withdrawalReason) }
        }
    }

    private fun baseline(route: RouteId) = baselines.getOrPut(route) { RouteBaseline() }

    private fun moveOf(choice: TimedVersionChoice): TimedMove? = moves[choice.service]?.takeIf { it.order.target == choice.target }
}
