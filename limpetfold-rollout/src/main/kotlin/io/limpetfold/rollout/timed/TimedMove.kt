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
 * The state of one ordered move on one router. Makes no remote calls; times are monotonic. Not safe for concurrent use.
 *
 * Every router follows the same steps by the time since the order was first read, so that a partitioned router meets
 * the deadline without any message. The first final outcome that is stored wins; without one the move counts as taken
 * back from [OUTCOME_GRACE_SHARE] of the duration after [TimedMovePolicy.completeUntil].
 *
 * An outcome stays known when the store is restored from a copy without it, because endpoints may have been stopped by
 * it; it is then written again. If different outcomes were stored before and after a restore, the move counts as taken
 * back, so that a version that was found worse gets no calls.
 */
internal class TimedMove(
    order: MoveOrder,
    firstSeenAt: Duration,
    private val baselineOf: (RouteId) -> RouteBaseline,
    private val policy: TimedMovePolicy,
) {
    /** The latest known version of the order. */
    var order: MoveOrder = order
        private set

    /** The final outcome that the store is known to have held, also if a restore has removed it; null without one. */
    var outcome: MoveOutcome? = order.storedOutcome
        private set

    /** Why the new version was withdrawn; null while it is not withdrawn. */
    var withdrawalReason: String? = null
        private set

    /**
     * Whether the new version was found worse or is stored as taken back. A move that is only overdue is not withdrawn:
     * a router that is cut off does not know whether it was completed.
     */
    val isWithdrawn: Boolean get() =
        outcome?.status == MoveStatus.TAKEN_BACK ||
            (withdrawalReason != null && outcome?.status != MoveStatus.COMPLETED)

    /** Whether the store holds the final outcome. */
    val isSettled: Boolean get() = outcome != null && order.status == outcome?.status

    /** Whether the order was in the store at the last reading; a copy from which the store is restored may lack it. */
    val isInStore: Boolean get() = missingSince == null

    /** Since when the order is missing from a restored store; null while it is there. */
    var missingSince: Duration? = null
        private set

    private val firstVersion = order.objectVersion
    private var startedAt = firstSeenAt

    /** When the order was read from a restored store; null before the first restore. */
    private var restoredAt: Duration? = null
    private val plan =
        MovePlan(MovePreset.AVAILABILITY, emptyList(), policy.errorRate, policy.minOutcomes, policy.guardCount)
    private val guards = HashMap<RouteId, VersionGuard>()
    private val pooled = HashMap<RouteId, PooledEvidence>()
    private val peerReports = HashMap<Incarnation, TimedMoveReport>()
    private var oldCallsInFlight = 0
    private var newOutcomes = 0L

    /** Replaces [order] if [latest] was read at a later object version; [now] is the time of the reading. */
    fun applyOrder(
        latest: MoveOrder,
        now: Duration,
    ) {
        if (latest.objectVersion <= order.objectVersion) return
        if (outcome?.version?.era == latest.objectVersion.era) outcome = null
        latest.storedOutcome?.let(::adopt)
        if (latest.objectVersion.era > order.objectVersion.era) restoredAt = now
        order = latest
        missingSince = null
    }

    /** Records that a restored store lacks the order. */
    fun onMissing(now: Duration) {
        if (missingSince == null) missingSince = now
    }

    /** Returns the share of calls that go to the new version at [now]. */
    fun weightAt(now: Duration): Double =
        when {
            outcome?.status == MoveStatus.COMPLETED -> 1.0
            outcome?.status == MoveStatus.TAKEN_BACK || withdrawalReason != null -> 0.0
            isOverdue(shareAt(now)) -> 0.0
            else -> policy.steps.last { it.from <= shareAt(now) }.weight
        }

    /** Records that a call was sent. */
    fun onCallStarted(side: MoveSide) {
        if (side == MoveSide.OLD) oldCallsInFlight++
    }

    /** Records that a call ended; [observation] is null when its end says nothing about the version. */
    fun onCallEnded(
        side: MoveSide,
        route: RouteId,
        observation: VersionObservation?,
    ) {
        if (side == MoveSide.OLD) oldCallsInFlight--
        if (observation == null) return
        if (side == MoveSide.NEW) newOutcomes++
        val guard = guards.getOrPut(route) { VersionGuard(plan, baselineOf(route)) }
        guard.add(side, observation)
        guard.finding?.let { withdraw(it, route) }
    }

    /** Stores the report of another router and adopts its earlier start and its withdrawal. */
    fun applyReport(
        router: Incarnation,
        report: TimedMoveReport,
        now: Duration,
    ) {
        peerReports[router] = report
        startedAt = minOf(startedAt, now - Duration.ofMillis(report.elapsedMillis))
        if (report.isWithdrawn &&
            withdrawalReason == null
        ) {
            withdrawalReason = "router ${router.instance} found the new version worse"
        }
        if (isOnThisOrder(report)) report.outcome?.let(::adopt)
    }

    /** Whether [report] is not on another order with the same target, whose outcome says nothing about this one. */
    private fun isOnThisOrder(report: TimedMoveReport): Boolean {
        val isRestored = report.orderVersion.era < firstVersion.era
        return report.durationMillis == order.duration.toMillis() &&
            (isRestored || report.orderVersion >= firstVersion)
    }

    private fun adopt(stored: MoveOutcome) {
        if (outcome == null || stored.status == MoveStatus.TAKEN_BACK) outcome = stored
    }

    /**
     * Compares the versions on the pooled reports of all routers, and withdraws the new version if it is worse.
     *
     * @param self the router under which this router's own report is pooled.
     */
    fun evaluateReports(
        self: Incarnation,
        now: Duration,
    ) {
        if (outcome != null) return
        val reports = peerReports + (self to report(now))
        for (route in reports.values.flatMapTo(HashSet()) { it.guards.keys }) {
            val evidence = pooled.getOrPut(route) { PooledEvidence(plan) }
            evidence.add(reports.mapNotNull { (router, report) -> report.guards[route]?.let { router to it } }.toMap())
            evidence.finding?.let { withdraw(it, route) }
        }
    }

    /** Returns the report that this router sends to the others. */
    fun report(now: Duration) =
        TimedMoveReport(
            order.service,
            order.target,
            (now - startedAt).toMillis(),
            oldCallsInFlight,
            newOutcomes,
            withdrawalReason != null && outcome?.status != MoveStatus.COMPLETED,
            guards.mapValues { it.value.report },
            outcome,
            order.objectVersion,
            order.duration.toMillis(),
        )

    /**
     * Returns the status to store now, or null.
     *
     * @param rank this router's position among the running routers, from 0. The first one writes; each further one
     *   waits [TimedMovePolicy.decisionDelayShare] longer and writes if the status is still missing.
     * @param runningRouters the other routers that are running.
     */
    fun decide(
        now: Duration,
        rank: Int,
        runningRouters: Set<Incarnation>,
    ): MoveStatus? {
        if (isSettled || !isInStore || isLeftToOthers(now, rank)) return null
        outcome?.let { return it.status.takeIf { _ -> isRemovedByRestore(it) } }
        val share = shareAt(now) - rank * policy.decisionDelayShare
        return when {
            withdrawalReason != null || isOverdue(share) -> MoveStatus.TAKEN_BACK
            share >= policy.completeUntil -> if (hasEnoughOutcomes()) MoveStatus.COMPLETED else MoveStatus.TAKEN_BACK
            share >= policy.completeFrom &&
                hasEnoughOutcomes() &&
                isOldVersionIdle(
                    runningRouters,
                ) -> MoveStatus.COMPLETED
            share >= 0 && order.status == null -> MoveStatus.ACTIVE
            else -> null
        }
    }

    /** Whether [known] is from before a restore; otherwise the store holds it, and the watch is only late. */
    private fun isRemovedByRestore(known: MoveOutcome) = known.version.era < order.objectVersion.era

    /** Whether the routers ranked before this one still have time to write a status that a restore has removed. */
    private fun isLeftToOthers(
        now: Duration,
        rank: Int,
    ): Boolean {
        val since = restoredAt ?: return false
        val perRank = Duration.ofMillis((order.duration.toMillis() * policy.decisionDelayShare).toLong())
        return now - since < minOf(perRank, MAX_REWRITE_DELAY).multipliedBy(rank.toLong())
    }

    private fun hasEnoughOutcomes() = newOutcomes + peerReports.values.sumOf { it.newOutcomes } >= policy.minOutcomes

    private fun isOldVersionIdle(runningRouters: Set<Incarnation>) =
        oldCallsInFlight == 0 &&
            runningRouters.all { router ->
                val report = peerReports[router] ?: return@all false
                report.oldCallsInFlight == 0 && report.elapsedMillis >= order.duration.toMillis() * policy.completeFrom
            }

    /** Returns whether a move without a stored outcome counts as taken back at [share] of its duration. */
    private fun isOverdue(share: Double) = share >= policy.completeUntil + OUTCOME_GRACE_SHARE

    private fun shareAt(now: Duration): Double =
        (now - startedAt).toMillis().toDouble() / maxOf(1, order.duration.toMillis())

    private fun withdraw(
        metric: GuardMetric,
        route: RouteId,
    ) {
        if (withdrawalReason == null) withdrawalReason = "${metric.name.lowercase()} on route $route"
    }

    private companion object {
        /**
         * The share of the duration between [TimedMovePolicy.completeUntil] and the time from which a move without an
         * outcome counts as taken back.
         */
        const val OUTCOME_GRACE_SHARE = 0.05

        /** Limits how long the outcome of a long move is missing when the first routers do not know it. */
        val MAX_REWRITE_DELAY: Duration = Duration.ofMillis(500)
    }
}
