package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import kotlin.math.ceil

/** Decides on the next change of a running move. Pure: reads no clock and makes no calls. */
internal object MoveDecider {
    /** Time after the start of a step during which the demand is not known well enough to raise the weight. */
    private const val DEMAND_SETTLE_MILLIS = 3000L

    /** The share of its hold time for which a step behind schedule is held, as after a change of the controller. */
    private const val LATE_HOLD_SHARE = 0.5

    /**
     * The share of a step's allotment that is released at its start (at least one request for each responding router).
     * The rest is released evenly over the hold time.
     */
    private const val INITIAL_RELEASE_SHARE = 0.25

    /** With little traffic, the weight is raised up to this value, so that the evidence is collected in time. */
    private const val MAX_RAISED_WEIGHT = 0.5

    /** The weight is raised in multiples of this, so that a small change of the demand causes no write. */
    private const val WEIGHT_UNIT = 0.05

    /** A refill covers the demand of this duration, which is a few rounds of the controller. */
    private const val REFILL_SECONDS = 3.0
    private const val MILLIS_PER_SECOND = 1000.0

    fun decide(
        record: MoveRecord,
        view: MoveView,
    ): MoveDecision {
        val phase = record.phase as? MovePhase.Running ?: return MoveDecision.Keep
        takeBackReason(record, view)?.let { return MoveDecision.Write(record.copy(phase = MovePhase.TakenBack(it))) }
        if (isStepDone(record, phase.step, view)) {
            return if (phase.step == record.plan.steps.lastIndex) {
                MoveDecision.Complete
            } else {
                MoveDecision.Write(enterStep(record, phase.step + 1, view))
            }
        }
        val next = refill(raiseWeight(record, phase.step, view), phase.step, view)
        return if (next == record) MoveDecision.Keep else MoveDecision.Write(next)
    }

    private fun takeBackReason(
        record: MoveRecord,
        view: MoveView,
    ): TakeBackReason? {
        view.verdict?.let { return TakeBackReason.RouterVerdict(it) }
        view.finding?.let { return TakeBackReason.Evidence(it) }
        if (view.hasLostGrants) return TakeBackReason.StoreRestored
        if (view.nowMillis >= record.deadlineMillis) return TakeBackReason.DeadlinePassed
        if (view.nowMillis < record.completionLimitMillis) return null
        if (view.outcomes < record.plan.minOutcomes) return TakeBackReason.NoProgress(view.outcomes)
        return TakeBackReason.TooLate(nonResponders(record, view).map { it.instance })
    }

    /** Returns the routers that hold exposure and did not respond in this round. */
    fun nonResponders(
        record: MoveRecord,
        view: MoveView,
    ): List<Incarnation> =
        record.grants.keys
            .mapNotNull(Incarnation::parse)
            .filter { it !in view.responders }

    private fun isStepDone(
        record: MoveRecord,
        step: Int,
        view: MoveView,
    ): Boolean {
        val plan = record.plan.steps[step]
        val elapsed = view.nowMillis - record.stepStartedAtMillis
        val isLate = view.nowMillis - record.startedAtMillis >= plan.endMillis
        if (elapsed < plan.holdMillis * if (isLate) LATE_HOLD_SHARE else 1.0) return false
        return view.outcomes(step) >= plan.evidenceRequests || (isLate && view.outcomes >= record.plan.minOutcomes)
    }

    private fun enterStep(
        record: MoveRecord,
        step: Int,
        view: MoveView,
    ): MoveRecord {
        val plan = record.plan.steps[step]
        val demand = plan.weight * view.requestsPerSecond * plan.holdMillis / MILLIS_PER_SECOND
        val allotted = maxOf(plan.allottedRequests, ceil(demand).toLong())
        val entered =
            record.copy(
                phase = MovePhase.Running(step),
                stepStartedAtMillis = view.nowMillis,
                weight = plan.weight,
                allottedRequests = record.allottedRequests + allotted,
                stepAllottedRequests = allotted,
            )
        return refill(entered, step, view)
    }

    private fun raiseWeight(
        record: MoveRecord,
        step: Int,
        view: MoveView,
    ): MoveRecord {
        val plan = record.plan.steps[step]
        val elapsed = view.nowMillis - record.stepStartedAtMillis
        if (elapsed < DEMAND_SETTLE_MILLIS) return record
        val missing = plan.evidenceRequests - view.outcomes(step)
        val demand = view.requestsPerSecond * maxOf(plan.holdMillis - elapsed, DEMAND_SETTLE_MILLIS) / MILLIS_PER_SECOND
        val needed = if (demand > 0) missing / demand else 0.0
        val weight = minOf(ceil(needed / WEIGHT_UNIT) * WEIGHT_UNIT, maxOf(MAX_RAISED_WEIGHT, plan.weight))
        return if (weight > record.weight) record.copy(weight = weight) else record
    }

    /**
     * Grants more exposure to the responding routers whose unused grant is low, in proportion to their shortfall,
     * within the part of the allotment that is released so far.
     */
    private fun refill(
        record: MoveRecord,
        step: Int,
        view: MoveView,
    ): MoveRecord {
        val hold = maxOf(record.plan.steps[step].holdMillis, 1).toDouble()
        val releasedShare = minOf(1.0, INITIAL_RELEASE_SHARE + (view.nowMillis - record.stepStartedAtMillis) / hold)
        val initialRelease = minOf(record.stepAllottedRequests, view.responders.size.toLong())
        val released =
            record.allottedRequests - record.stepAllottedRequests +
                maxOf(initialRelease, (record.stepAllottedRequests * releasedShare).toLong())
        var available = released - record.grants.values.sum()
        val shortfalls =
            view.responders
                .sorted()
                .associateWith { shortfall(record, it, view) }
                .filterValues { it > 0 }
        if (available <= 0 || shortfalls.isEmpty()) return record
        val scale = minOf(1.0, available / shortfalls.values.sum().toDouble())
        val grants = record.grants.toMutableMap()
        for ((router, shortfall) in shortfalls.entries.sortedByDescending { it.value }) {
            val added = minOf(available, maxOf(1, (shortfall * scale).toLong()))
            if (added <= 0) break
            grants[router.key] = record.granted(router) + added
            available -= added
        }
        return record.copy(grants = grants)
    }

    /** Returns what [router] lacks to cover [REFILL_SECONDS] of its demand; 0 while at least half of that is left. */
    private fun shortfall(
        record: MoveRecord,
        router: Incarnation,
        view: MoveView,
    ): Long {
        val report = view.reports.getValue(router)
        val unused = record.granted(router) - report.usedRequests
        val target = maxOf(1, ceil(report.requestsPerSecond * record.weight * REFILL_SECONDS).toLong())
        return if (unused * 2 < target) target - unused else 0
    }
}
