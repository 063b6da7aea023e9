package io.limpetfold.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import java.util.PriorityQueue
import kotlin.math.roundToInt
import kotlin.random.Random

private const val SEEDS = 300
private const val SECONDS = 24
private const val DEMAND_AFTER_QUIET_TIME = 4
private const val WINDOW_MILLIS = 4_000L

/** How long after a response that named the limit the calls of its router count against it. */
private const val TOLD_MILLIS = 500L

/** Load pattern: fleets of any size before endpoints of which one takes a limited number of calls a second. */
class CallLimitPropertyTest :
    FunSpec({
        test("guards against a fleet whose routers together send an endpoint more calls than it said that it takes") {
            repeat(SEEDS) { seed ->
                val fleet = LimitedFleet(seed)
                fleet.run()
                withClue("seed $seed: $fleet") { fleet.excess() shouldBeLessThanOrEqual 0.0 }
            }
        }

        test("guards against a limited endpoint that gets no calls at all") {
            val fleet = LimitedFleet(seed = 1, routerCount = 8, callsPerSecond = 4.0)
            fleet.run()
            fleet.arrivals.size shouldBeGreaterThan 24
        }

        test("guards against shares of the routers that add up to more than the limit") {
            for (routerCount in listOf(1, 2, 7, 8, 60, 100)) {
                for (callsPerSecond in listOf(0.0, 0.3, 1.6, 20.0, 500.0)) {
                    val routers = (1..routerCount).map { "r-$it" }
                    val shares = routers.map { self -> CallShare.among(self) { routers } }
                    val sum = shares.sumOf { it.of(EndpointId("i-1"), callsPerSecond).fraction }
                    withClue("$routerCount routers, $callsPerSecond calls a second") {
                        (sum * 1_000).roundToInt() shouldBe 1_000
                    }
                }
            }
        }
    })

/** Calls of one service that arrive at random routers; endpoint `i-0` names its limit in each response. */
private class LimitedFleet(
    seed: Int,
    routerCount: Int? = null,
    callsPerSecond: Double? = null,
) {
    private val random = Random(seed)
    private val routerCount = routerCount ?: random.nextInt(1, 101)
    private val callsPerSecond =
        callsPerSecond ?: if (seed % 3 == 0) random.nextDouble(0.1, 3.0) else random.nextDouble(3.0, 60.0)
    private val endpointCount = random.nextInt(1, 5)

    /** A time without calls, after which all routers have some at once. */
    private val quietMillis = if (seed % 2 == 0) 0L else random.nextLong(1_200_000)
    private val demandPerSecond = this.callsPerSecond * endpointCount * random.nextDouble(1.0, 8.0) + 20
    private val names = (1..this.routerCount).map { "r-$it" }
    private val routers = names.map { Router(it) }

    /** The router and the time, in milliseconds, of each call that the limited endpoint got. */
    val arrivals = mutableListOf<Pair<Router, Long>>()

    fun run() {
        val responses = PriorityQueue<Pair<Long, Router>>(compareBy { it.first })
        for (millis in 0L until SECONDS * 1_000L) {
            val isAfterQuietTime = millis >= SECONDS * 1_000L / 2
            val nowMillis = if (isAfterQuietTime) millis + quietMillis else millis
            val demand = if (isAfterQuietTime) demandPerSecond * DEMAND_AFTER_QUIET_TIME else demandPerSecond
            while (responses.isNotEmpty() && responses.peek().first <= nowMillis) {
                responses.poll().second.onLimitStated(nowMillis)
            }
            val router = routers.random(random)
            if (random.nextDouble() * 1_000 < demand && router.call(nowMillis) == LIMITED) {
                arrivals += router to nowMillis
                responses += nowMillis + random.nextLong(5, 300) to router
            }
        }
    }

    /** How far the most calls in a window are above what the limit allows, over routers that had been told. */
    fun excess(): Double {
        val counted =
            arrivals.filter { (router, at) -> router.toldAtMillis.let { it != null && at >= it + TOLD_MILLIS } }
        val most =
            counted.maxOfOrNull { (_, start) ->
                counted.count { (_, at) -> at >= start && at < start + WINDOW_MILLIS }
            } ?: 0
        return most - (1.5 * callsPerSecond * WINDOW_MILLIS / 1_000 + 5)
    }

    override fun toString() =
        "$routerCount routers, $endpointCount endpoints, limit $callsPerSecond, $demandPerSecond calls a second"

    inner class Router(
        name: String,
    ) {
        private val directory = EndpointDirectory()
        private val picker =
            EndpointPicker(directory, ZoneId("z"), random = random, share = CallShare.among(name) { names })

        var toldAtMillis: Long? = null
            private set

        init {
            val endpoints =
                (0 until endpointCount).map { Endpoint(EndpointId("i-$it"), 1, "s", "h", 80, ZoneId("z"), "v1", 8) }
            directory.applyList(endpoints, ObjectVersion.of(1), Duration.ZERO)
        }

        /** Returns the endpoint that gets a call, or null if it is refused. */
        fun call(nowMillis: Long): EndpointId? {
            val now = Duration.ofMillis(nowMillis)
            val state = picker.pick(PickRequest("s", affinityKey = null), now) ?: return null
            if (!picker.callLimits.tryAcquire(state, now)) return null
            return state.endpoint.id
        }

        fun onLimitStated(nowMillis: Long) {
            if (toldAtMillis == null) toldAtMillis = nowMillis
            val now = Duration.ofMillis(nowMillis)
            val state = checkNotNull(picker.state(LIMITED, now))
            picker.callLimits.apply(state, CallLimitStatement(callsPerSecond, now), now)
        }
    }

    private companion object {
        val LIMITED = EndpointId("i-0")
    }
}
