package io.limpetfold.rollout.timed

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

/**
 * Routers with one clock that share one order in a store and exchange reports.
 *
 * @param isBadSlow whether a bad call of the new version succeeds after four times as long; otherwise it fails.
 * @param isNewBad whether a call to the new version is bad, by route and time since the start of the run.
 */
internal class TimedMoveFleet(
    seed: Int,
    routerCount: Int = 8,
    private val callsPerTick: Int = 10,
    private val isBadSlow: Boolean = false,
    private val isNewBad: (route: Int, elapsed: Duration, random: Random) -> Boolean,
) {
    private val random = Random(seed)
    private var now = Duration.ofSeconds(100)
    private val routers =
        List(routerCount) { index ->
            Incarnation(InstanceId("10.0.0.$index"), 1).let {
                it to
                    TimedVersionSelector(it, { now }, Random(seed + index))
            }
        }
    private var order = MoveOrder("app", VersionId("v2"), DURATION, status = null, ObjectVersion.of(1))

    /** Indices of the routers that reach neither the store nor their peers. */
    val partitioned = mutableSetOf<Int>()
    var newCalls = 0
        private set
    var allCalls = 0
        private set

    /** Calls to the new version after its fiftieth failure. */
    var callsAfterFiftyFailures = 0
        private set
    private var newFailures = 0
    val status: MoveStatus? get() = order.status
    var completedWithOldCalls = false
        private set

    /** Serves calls without a move, so that the guards have a baseline of the old version. */
    fun recordBaseline() = repeat(20) { tick(elapsed = null) }

    /** Runs the move for [share] of its duration; the time that is passed to `isNewBad` starts at 0 in each run. */
    fun run(share: Double = 1.0) {
        forEachConnected { it.applyOrder(order) }
        val ticks = (DURATION.toMillis() * share / TICK.toMillis()).toInt()
        repeat(ticks) { tick(TICK.multipliedBy(it.toLong())) }
    }

    /** Returns the share of calls that router [index] sends to the new version now. */
    fun newVersionShare(index: Int): Double =
        List(100) { routers[index].second.choose("app") }.count { it?.side == MoveSide.NEW } / 100.0

    private fun tick(elapsed: Duration?) {
        now += TICK
        repeat(callsPerTick) { call(elapsed) }
        if (elapsed == null) return
        for ((index, router) in routers.withIndex()) {
            if (index in partitioned) continue
            val others = routers.filterIndexed { other, _ -> other != index && other !in partitioned }
            others.forEach { (_, selector) -> selector.applyReports(router.first, router.second.reports()) }
            for (decision in router.second.decide(others.mapTo(HashSet()) { it.first })) store(decision)
        }
        forEachConnected { it.applyOrder(order) }
    }

    private fun store(decision: TimedMoveDecision) {
        if (decision.order.objectVersion != order.objectVersion) return
        order = order.copy(status = decision.status, objectVersion = ObjectVersion.of(order.objectVersion.revision + 1))
    }

    private fun call(elapsed: Duration?) {
        val selector = routers[random.nextInt(routers.size)].second
        val route = random.nextInt(2)
        val choice = selector.choose("app")
        val isNew = choice?.side == MoveSide.NEW
        val isBad =
            if (isNew &&
                elapsed != null
            ) {
                isNewBad(route, elapsed, random)
            } else {
                random.nextDouble() < OLD_FAILURE_SHARE
            }
        if (elapsed != null) allCalls++
        if (isNew) newCalls++
        if (isNew && newFailures >= 50) callsAfterFiftyFailures++
        if (isNew && isBad) newFailures++
        selector.onCallStarted(choice)
        val latency = Duration.ofMillis(40 + random.nextLong(30))
        val observation =
            if (isNew && isBad && isBadSlow) {
                VersionObservation(isSuccess = true, latency = latency.multipliedBy(SLOW_FACTOR))
            } else {
                VersionObservation(!isBad, latency = latency)
            }
        selector.onCallEnded(choice, RouteId("r$route"), observation)
    }

    private fun forEachConnected(block: (TimedVersionSelector) -> Unit) =
        routers.forEachIndexed { index, (_, selector) -> if (index !in partitioned) block(selector) }

    companion object {
        val DURATION: Duration = Duration.ofSeconds(12)
        private val TICK: Duration = Duration.ofMillis(200)
        private const val OLD_FAILURE_SHARE = 0.01
        private const val SLOW_FACTOR = 4L
    }
}
