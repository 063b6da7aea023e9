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

/** Routers that share one order in a store and exchange reports, on one clock; a test chooses what the new version does. */
internal class TimedMoveFleet(
    seed: Int,
    routerCount: Int = 8,
    private val callsPerTick: Int = 10,
    private val isNewBad: (route: Int, elapsed: Duration, random: Random) -> Boolean,
) {
    private val random = Random(seed)
    private var now = Duration.ofSeconds(100)
    private val routers =
        List(routerCount) { index -> Incarnation(InstanceId("10.0.0.$index"), 1).let { it to TimedVersionSelector(it, { now }, Random(seed + index)) } }
    private var order = MoveOrder("app", VersionId("v2"), DURATION, status = null, ObjectVersion(1))

    /** Routers that neither store nor peers reach. */
    val cutOff = mutableSetOf<Int>()
    var newCalls = 0
        private set
    var allCalls = 0
        private set

    /** Calls to the new version after its fiftieth bad answer. */
    var callsAfterFifty = 0
        private set
    private var badAnswers = 0
    val status: MoveStatus? get() = order.status
    var completedWithOldCalls = false
        private set

    /** Serves calls without a move, so that the guards know the old version. */
    fun learn() = repeat(20) { tick(elapsed = null) }

    /** Runs the move for [share] of its duration, or until it has a final outcome and a second more has passed. */
    fun run(share: Double = 1.0) {
        reached { it.applyOrder(order) }
        val ticks = (DURATION.toMillis() * share / TICK.toMillis()).toInt()
        repeat(ticks) { tick(TICK.multipliedBy(it.toLong())) }
    }

    /** The share of [calls] that go to the new version on router [index] now. */
    fun newShareOf(index: Int): Double = List(100) { routers[index].second.choose("app") }.count { it?.side == MoveSide.NEW } / 100.0

    private fun tick(elapsed: Duration?) {
        now += TICK
        repeat(callsPerTick) { call(elapsed) }
        if (elapsed == null) return
        for ((index, router) in routers.withIndex()) {
            if (index in cutOff) continue
            val others = routers.filterIndexed { other, _ -> other != index && other !in cutOff }
            others.forEach { (_, moves) -> moves.applyReports(router.first, router.second.reports()) }
            for (decision in router.second.decide(others.mapTo(HashSet()) { it.first })) store(decision)
        }
        reached { it.applyOrder(order) }
    }

    private fun store(decision: TimedMoveDecision) {
        if (decision.order.objectVersion != order.objectVersion) return
        order = order.copy(status = decision.status, objectVersion = ObjectVersion(order.objectVersion.number + 1))
    }

    private fun call(elapsed: Duration?) {
        val moves = routers[random.nextInt(routers.size)].second
        val route = random.nextInt(2)
        val choice = moves.choose("app")
        val isNew = choice?.side == MoveSide.NEW
        val isBad = if (isNew && elapsed != null) isNewBad(route, elapsed, random) else random.nextDouble() < OLD_FAILURES
        if (elapsed != null) allCalls++
        if (isNew) newCalls++
        if (isNew && badAnswers >= 50) callsAfterFifty++
        if (isNew && isBad) badAnswers++
        moves.onCallStarted(choice)
        val latency = Duration.ofMillis(40 + random.nextLong(30))
        moves.onCallEnded(choice, RouteId("r$route"), VersionObservation(!isBad, latency = latency))
    }

    private fun reached(block: (TimedVersionSelector) -> Unit) = routers.forEachIndexed { index, (_, moves) -> if (index !in cutOff) block(moves) }

    companion object {
        val DURATION: Duration = Duration.ofSeconds(12)
        private val TICK: Duration = Duration.ofMillis(200)
        private const val OLD_FAILURES = 0.01
    }
}
