package io.limpetfold.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import java.time.Duration
import kotlin.random.Random
import kotlin.time.TimeMark
import kotlin.time.toKotlinDuration

class EndpointLimitPropertyTest :
    FunSpec({
        test("the base shares of all seats add up to the endpoint's limit") {
            for (maxRouters in 1..40) {
                for (maxInFlight in listOf(0, 1, 7, 39, 40, 41, 256)) {
                    val shares = (0 until maxRouters).map { BaseShare.of(EndpointId("e"), maxInFlight, it, maxRouters) }
                    withClue("$maxInFlight over $maxRouters") { shares.sum() shouldBe maxInFlight }
                }
            }
        }

        test("a late answer of an ended lender does not bring back a loan whose returns are forgotten") {
            val clock = TestClock()
            val loans = EndpointLoans()
            val ended = SeatTenure(Incarnation(InstanceId("r0"), 1), 1)
            loans.onGranted(ended, 2, clock.monotonic.markNow())
            loans.giveBack(ended, 1)
            loans.onGranted(SeatTenure(Incarnation(InstanceId("r0"), 2), 1), 0, clock.monotonic.markNow())
            loans.onGranted(ended, 2, clock.monotonic.markNow())
            loans.held shouldBe 0
        }

        test("requests in flight over all routers never exceed the endpoint's limit, in any schedule") {
            val sums = HashMap<String, Int>()
            repeat(SEEDS) { seed ->
                val schedule = Schedule(seed)
                runBlocking { schedule.run(this) }
                withClue("seed=$seed schedule=\n${schedule.log.joinToString("\n")}") { schedule.violation shouldBe null }
                schedule.counts.forEach { (name, count) -> sums.merge(name, count, Int::plus) }
            }
            println("EndpointLimit: seeds=$SEEDS ${sums.toSortedMap()}")
            // Guards against a schedule that proves nothing because the paths are never reached.
            for (name in listOf("acquired", "lent", "killed", "takenOver", "seatLost", "left", "atLimit", "lost", "settled")) {
                withClue(name) { (sums[name] ?: 0) shouldBeGreaterThan 100 }
            }
        }
    }) {
    /** One seeded schedule; all routers run on one thread and give way at each message. */
    private class Schedule(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val clock = TestClock()
        private val hub = FakePeerHub()
        private val seats = random.nextInt(2, 5)
        private val limits = List(2) { DeclaredEndpoint(EndpointId("e$it"), ZONE, random.nextInt(1, 8)) }
        private val inFlight = mutableListOf<Held>()

        /** The holder of each seat; an instance that died or lost its seat may be replaced. */
        private val holders = arrayOfNulls<Router>(seats)
        /** Routers that lost their seat and go on serving callers. */
        private val withoutSeat = mutableListOf<Router>()
        private var cut = emptySet<InstanceId>()
        private var nextNumber = 1L
        val log = mutableListOf<String>()
        val counts = HashMap<String, Int>()
        var violation: String? = null

        class Held(
            val router: Router,
            val permit: EndpointPermit,
            val since: TimeMark,
        )

        inner class Router(
            val instance: InstanceId,
            val scope: CoroutineScope,
        ) : LimitListener {
            val incarnation = Incarnation(instance, nextNumber++)
            val limiter =
                EndpointLimiter(
                    incarnation,
                    ZONE,
                    Slow(hub.join(incarnation)),
                    clock.monotonic,
                    Random(random.nextLong()),
                    policy = POLICY,
                    listener = this,
                )

            fun seat(
                seat: Int?,
                isNew: Boolean = false,
            ) {
                limiter.update(listOf(RouteQueueConfig(ROUTE)), seat, isNew, seats, limits)
            }

            suspend fun acquire() {
                val candidates = limits.map { EndpointCandidate(it.endpoint, ZONE) }.shuffled(random).take(random.nextInt(1, 3))
                val permit = limiter.acquire(ROUTE, WorkspaceId("w"), candidates, Duration.ofHours(1)).get() ?: return
                inFlight += Held(this, permit, clock.monotonic.markNow())
                note("acquired", "$incarnation ${permit.endpoint}")
                check(permit.endpoint)
            }

            override fun onLent(
                endpoint: EndpointId,
                peer: InstanceId,
                slots: Int,
            ) = note("lent", "$incarnation to $peer $endpoint $slots")
        }

        /** Messages and answers are delayed by a random number of steps and may be lost. */
        private inner class Slow(
            private val network: PeerNetwork,
        ) : PeerNetwork by network {
            override suspend fun <Q : Any, A : Any> ask(
                to: InstanceId,
                topic: PeerTopic<Q, A>,
                message: Q,
                timeout: Duration,
            ): Result<A, PeerError> {
                repeat(random.nextInt(4)) { yield() }
                val answer = network.ask(to, topic, message, timeout)
                repeat(if (random.nextInt(4) == 0) random.nextInt(60) else random.nextInt(3)) { yield() }
                if (random.nextInt(5) > 0) return answer
                note("lost", "answer of $to")
                return Err(PeerError.Timeout(to, timeout))
            }
        }

        suspend fun run(scope: CoroutineScope) {
            hub.fault = { from, to -> if ((from in cut) != (to in cut)) PeerFault.REQUEST_LOST else PeerFault.NONE }
            for (seat in 0 until seats) start("r$seat", scope).also { holders[seat] = it }.seat(seat, isNew = true)
            withoutSeat += start("r$seats", scope).also { it.seat(null) }
            repeat(STEPS) {
                val seat = random.nextInt(seats)
                val router = if (random.nextInt(6) == 0) withoutSeat.random(random) else holders[seat]
                when (random.nextInt(20)) {
                    in 0..6 -> router?.let { it.scope.launch { it.acquire() } }
                    in 7..9 -> inFlight.randomOrNull(random)?.let(::release)
                    10, 11 -> router?.let { it.scope.launch { it.limiter.maintain() } }
                    12, 13 -> router?.let { it.scope.launch { it.limiter.borrow() } }
                    14 -> advance(random.nextLong(1, 4_000))
                    15 -> if (random.nextInt(3) == 0) advance(random.nextLong(10_000, 140_000))
                    16 -> cut = holders.filterNotNull().filter { random.nextInt(3) == 0 }.map { it.instance }.toSet()
                    17 -> cut = emptySet()
                    else -> if (random.nextInt(3) == 0) replace(seat, scope)
                }
                repeat(random.nextInt(8)) { yield() }
            }
            scope.coroutineContext.job.children.toList().forEach { it.cancelAndJoin() }
        }

        /** Replaces the holder of a seat in one of the ways in which that happens. */
        private suspend fun replace(
            seat: Int,
            scope: CoroutineScope,
        ) {
            val old = holders[seat] ?: return
            when (random.nextInt(3)) {
                0 -> {
                    note("killed", "${old.incarnation}")
                    kill(old)
                    if (random.nextBoolean()) {
                        takeOver(seat, start(old.instance.value, scope))
                    } else {
                        advance(60_000)
                        takeOver(seat, start("n$nextNumber", scope))
                    }
                }
                1 -> {
                    // A paused or cut-off holder: it is alive and its requests stay at the endpoints.
                    note("seatLost", "${old.incarnation}")
                    old.seat(null)
                    withoutSeat += old
                    takeOver(seat, start("n$nextNumber", scope))
                }
                else -> {
                    old.limiter.close()
                    inFlight.filter { it.router === old }.forEach(::release)
                    old.limiter.close()
                    val isNew = old.limiter.isSeatDrained
                    note(if (isNew) "left" else "leftWithLoans", "${old.incarnation}")
                    old.seat(null)
                    kill(old)
                    takeOver(seat, start("n$nextNumber", scope), isNew)
                }
            }
        }

        private fun takeOver(
            seat: Int,
            next: Router,
            isNew: Boolean = false,
        ) {
            note("takenOver", "seat $seat by ${next.incarnation} isNew=$isNew")
            holders[seat] = next
            next.seat(seat, isNew)
        }

        private fun start(
            name: String,
            scope: CoroutineScope,
        ) = Router(InstanceId(name), CoroutineScope(scope.coroutineContext + Job(scope.coroutineContext.job)))

        private suspend fun kill(router: Router) {
            hub.disconnect(router.instance)
            inFlight.removeAll { it.router === router }
            router.scope.coroutineContext.job.cancelAndJoin()
            inFlight.removeAll { it.router === router }
        }

        private fun release(held: Held) {
            inFlight -= held
            held.permit.release(EndpointOutcome.Ignored)
        }

        /** Requests end within their longest duration, as the limiter requires of its caller. */
        private fun advance(millis: Long) {
            log += "advance $millis ms"
            var left = Duration.ofMillis(millis)
            while (!left.isZero) {
                val step = minOf(left, Duration.ofSeconds(1))
                clock.advance(step)
                left -= step
                val bound = POLICY.maxRequestDuration.toKotlinDuration()
                inFlight.filter { it.since.elapsedNow() >= bound }.forEach(::release)
            }
            holders.filterNotNull().filter { holder -> holder.limiter.status().any { it.baseSlots > 0 } }.forEach { _ ->
                counts.merge("settled", 1, Int::plus)
            }
        }

        private fun check(endpoint: EndpointId) {
            val count = inFlight.count { it.permit.endpoint == endpoint }
            val bound = limits.single { it.endpoint == endpoint }.maxInFlight
            if (count == bound) counts.merge("atLimit", 1, Int::plus)
            if (count > bound && violation == null) {
                violation = "$count of $bound at $endpoint: ${inFlight.map { "${it.router.incarnation} ${it.permit.endpoint}" }}"
            }
        }

        private fun note(
            name: String,
            what: String,
        ) {
            counts.merge(name, 1, Int::plus)
            log += "$name $what"
        }
    }

    private companion object {
        /** A longer run takes `-Dlimpetfold.seeds=40000`. */
        val SEEDS: Int = Integer.getInteger("limpetfold.seeds", 2_000)
        const val STEPS = 120
        val ZONE = ZoneId("z")
        val ROUTE = RouteId("r")

        /** Rounds of borrowing are steps of the schedule, not of real time. */
        val POLICY = LimitPolicy(borrowPause = Duration.ofHours(1), peerTimeout = Duration.ofHours(1))
    }
}
