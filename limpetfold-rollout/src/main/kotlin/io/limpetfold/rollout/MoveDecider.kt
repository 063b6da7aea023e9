package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import kotlin.math.ceil

/** Decides on running moves; pure. */
internal object MoveDecider {
    /** Until this time in a step the demand on the route is not known well enough to raise the weight. */
    private const val SETTLE_MILLIS = 3000L

    /** A step that ends behind its schedule, as after a change of the controller, is held for this part of its hold time. */
    private const val LATE_HOLD_SHARE = 0.5

    /** The part of a step's allotment that is available at its start (at least one request for each router); the rest follows evenly over the hold time. */
    private const val FIRST_SHARE = 0.25

    /** With little traffic, the weight grows up to this so that the evidence is gathered in time. */
    private const val RAISED_WEIGHT = 0.5

    /** The weight grows in units of this, so that a small change of the demand causes no write. */
    private const val WEIGHT_UNIT = 0.05

    /** A refill covers the demand of this many seconds, a few rounds of the controller. */
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
                MoveDecision.Write(enter(record, phase.step + 1, view))
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
        if (view.nowMillis >= record.deadlineMillis) return TakeBackReason.DeadlinePassed
        if (view.nowMillis < record.completionLimitMillis) return null
        if (view.outcomes < record.plan.minOutcomes) return TakeBackReason.NoProgress(view.outcomes)
        return TakeBackReason.TooLate(silent(record, view).map { it.instance })
    }

    /** Returns the routers that hold exposure and did not answer this time. */
    fun silent(
        record: MoveRecord,
        view: MoveView,
    ): List<Incarnation> = record.grants.keys.mapNotNull(Incarnation::parse).filter { it !in view.heard }

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

    private fun enter(
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
        if (elapsed < SETTLE_MILLIS) return record
        val missing = plan.evidenceRequests - view.outcomes(step)
        val demand = view.requestsPerSecond * maxOf(plan.holdMillis - elapsed, SETTLE_MILLIS) / MILLIS_PER_SECOND
        val needed = if (demand > 0) missing / demand else 0.0
        val weight = minOf(ceil(needed / WEIGHT_UNIT) * WEIGHT_UNIT, maxOf(RAISED_WEIGHT, plan.weight))
        return if (weight > record.weight) record.copy(weight = weight) else record
    }

    /** Grants exposure to the routers that have used up theirs, in proportion to their demand, within the paced allotment. */
    private fun refill(
        record: MoveRecord,
        step: Int,
        view: MoveView,
    ): MoveRecord {
        val hold = maxOf(record.plan.steps[step].holdMillis, 1).toDouble()
        val paced = minOf(1.0, FIRST_SHARE + (view.nowMillis - record.stepStartedAtMillis) / hold)
        val first = minOf(record.stepAllottedRequests, view.heard.size.toLong())
        val limit = record.allottedRequests - record.stepAllottedRequests + maxOf(first, (record.stepAllottedRequests * paced).toLong())
        var free = limit - record.grants.values.sum()
        val wants = view.heard.sorted().associateWith { want(record, it, view) }.filterValues { it > 0 }
        if (free <= 0 || wants.isEmpty()) return record
        val scale = minOf(1.0, free / wants.values.sum().toDouble())
        val grants = record.grants.toMutableMap()
        for ((router, want) in wants.entries.sortedByDescending { it.value }) {
            val given = minOf(free, maxOf(1, (want * scale).toLong()))
            if (given <= 0) break
            grants[router.key] = record.granted(router) + given
            free -= given
        }
        return record.copy(grants = grants)
    }

    private fun want(
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
