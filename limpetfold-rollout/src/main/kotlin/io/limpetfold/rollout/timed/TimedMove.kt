package io.limpetfold.rollout.timed

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RouteId
import io.limpetfold.rollout.GuardMetric
import io.limpetfold.rollout.MovePlan
import io.limpetfold.rollout.MovePreset
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.PooledEvidence
import io.limpetfold.rollout.RouteBaseline
import io.limpetfold.rollout.VersionGuard
import io.limpetfold.rollout.VersionObservation
import java.time.Duration

/**
 * One router's part in an ordered move. Pure; times are monotonic. Not safe for concurrent use.
 *
 * Every router follows the same steps by the time since the order was first seen, so that one that is cut off needs no message to keep the
 * deadline. The first final outcome that is stored wins; without one the move counts as taken back soon after
 * [TimedMovePolicy.completeUntil].
 */
internal class TimedMove(
    order: MoveOrder,
    firstSeenAt: Duration,
    private val baselineOf: (RouteId) -> RouteBaseline,
    private val policy: TimedMovePolicy,
) {
    /** The order as last read. */
    var order: MoveOrder = order
        private set

    /** Why the new version was withdrawn; null while it was not found worse. */
    var withdrawalReason: String? = null
        private set

    /** Whether a final outcome is stored. */
    val hasEnded: Boolean get() = order.status?.isFinal == true

    private var startedAt = firstSeenAt
    private val plan = MovePlan(MovePreset.AVAILABILITY, emptyList(), policy.errorRate, policy.minOutcomes, policy.guardCount)
    private val guards = HashMap<RouteId, VersionGuard>()
    private val pooled = HashMap<RouteId, PooledEvidence>()
    private val peers = HashMap<Incarnation, TimedMoveReport>()
    private var runningOld = 0
    private var newOutcomes = 0L

    /** Takes over what the store shows of the same order. */
    fun seen(newer: MoveOrder) {
        if (newer.objectVersion > order.objectVersion) order = newer
    }

    /** The share of calls that go to the new version at [now]. */
    fun weightAt(now: Duration): Double =
        when {
            order.status == MoveStatus.COMPLETED -> 1.0
            order.status == MoveStatus.TAKEN_BACK || withdrawalReason != null -> 0.0
            isOverdue(shareAt(now)) -> 0.0
            else -> policy.steps.last { it.from <= shareAt(now) }.weight
        }

    /** Counts a call as sent. */
    fun started(side: MoveSide) {
        if (side == MoveSide.OLD) runningOld++
    }

    /** Counts a call out; [observation] is null when its end says nothing about the version. */
    fun ended(
        side: MoveSide,
        route: RouteId,
        observation: VersionObservation?,
    ) {
        if (side == MoveSide.OLD) runningOld--
        if (observation == null) return
        if (side == MoveSide.NEW) newOutcomes++
        val guard = guards.getOrPut(route) { VersionGuard(plan, baselineOf(route)) }
        guard.add(side, observation)
        guard.finding?.let { withdraw(it, route) }
    }

    /** Takes over what another router reports. */
    fun applyReport(
        router: Incarnation,
        report: TimedMoveReport,
        now: Duration,
    ) {
        peers[router] = report
        startedAt = minOf(startedAt, now - Duration.ofMillis(report.elapsedMillis))
        if (report.isWithdrawn && withdrawalReason == null) withdrawalReason = "router ${router.instance} found it worse"
    }

    /** Judges what all routers have seen together; [self] reports with the others. */
    fun judge(
        self: Incarnation,
        now: Duration,
    ) {
        val reports = peers + (self to report(now))
        for (route in reports.values.flatMapTo(HashSet()) { it.guards.keys }) {
            val evidence = pooled.getOrPut(route) { PooledEvidence(plan) }
            evidence.add(reports.mapNotNull { (router, report) -> report.guards[route]?.let { router to it } }.toMap())
            evidence.finding?.let { withdraw(it, route) }
        }
    }

    /** What this router tells the others. */
    fun report(now: Duration) =
        TimedMoveReport(
            order.service,
            order.target,
            (now - startedAt).toMillis(),
            runningOld,
            newOutcomes,
            withdrawalReason != null,
            guards.mapValues { it.value.report },
        )

    /**
     * The outcome that is to be stored now, or null.
     *
     * @param rank this router's place among the routers that run; the first one writes, the others when it does not.
     * @param running the routers that run now, without this one.
     */
    fun decide(
        now: Duration,
        rank: Int,
        running: Set<Incarnation>,
    ): MoveStatus? {
        if (hasEnded) return null
        val share = shareAt(now) - rank * policy.decisionDelayShare
        return when {
            withdrawalReason != null || isOverdue(share) -> MoveStatus.TAKEN_BACK
            share >= policy.completeUntil -> if (hasProof()) MoveStatus.COMPLETED else MoveStatus.TAKEN_BACK
            share >= policy.completeFrom && hasProof() && hasLeftOld(running) -> MoveStatus.COMPLETED
            share >= 0 && order.status == null -> MoveStatus.ACTIVE
            else -> null
        }
    }

    private fun hasProof() = newOutcomes + peers.values.sumOf { it.newOutcomes } >= policy.minOutcomes

    private fun hasLeftOld(running: Set<Incarnation>) =
        runningOld == 0 &&
            running.all { router ->
                val report = peers[router] ?: return@all false
                report.runningOld == 0 && report.elapsedMillis >= order.duration.toMillis() * policy.completeFrom
            }

    /** Whether a move without a stored outcome counts as taken back at [share] of its duration. */
    private fun isOverdue(share: Double) = share >= policy.completeUntil + UNDECIDED_SHARE

    private fun shareAt(now: Duration): Double = (now - startedAt).toMillis().toDouble() / maxOf(1, order.duration.toMillis())

    private fun withdraw(
        metric: GuardMetric,
        route: RouteId,
    ) {
        if (withdrawalReason == null) withdrawalReason = "${metric.name.lowercase()} on route $route"
    }

    private companion object {
        /** The time between the last moment to complete and the one from which the move counts as taken back. */
        const val UNDECIDED_SHARE = 0.05
    }
}
