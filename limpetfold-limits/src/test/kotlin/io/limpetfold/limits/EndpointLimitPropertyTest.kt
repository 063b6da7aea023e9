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

        test("a late reply of a lender's earlier tenure does not restore a loan whose returned total was discarded") {
            val clock = TestClock()
            val loans = EndpointLoans()
            val ended = SeatTenure(Incarnation(InstanceId("r0"), 1), 1)
            loans.onGranted(ended, 2, clock.monotonic.markNow())
            loans.returnSlots(ended, 1)
            loans.onGranted(SeatTenure(Incarnation(InstanceId("r0"), 2), 1), 0, clock.monotonic.markNow())
            loans.onGranted(ended, 2, clock.monotonic.markNow())
            loans.borrowedSlots shouldBe 0
        }

        test("requests in flight over all routers never exceed the endpoint's limit, in any seeded schedule") {
            val sums = HashMap<String, Int>()
            repeat(SEEDS) { seed ->
                val schedule = Schedule(seed)
                runBlocking { schedule.run(this) }
                withClue(
                    "seed=$seed schedule=\n${schedule.log.joinToString("\n")}",
                ) { schedule.violation shouldBe null }
                schedule.counts.forEach { (name, count) -> sums.merge(name, count, Int::plus) }
            }
            println("EndpointLimit: seeds=$SEEDS ${sums.toSortedMap()}")
            // Guards against schedules that pass only because they never reach these paths.
            for (name in listOf(
                "acquired",
                "lent",
                "killed",
                "takenOver",
                "seatLost",
                "left",
                "atLimit",
                "lost",
                "settled",
            )) {
                withClue(name) { (sums[name] ?: 0) shouldBeGreaterThan 100 }
            }
        }
    }) {
    /**
     * One seeded schedule of requests, messages, clock steps, partitions and changes of seat. All routers run on one
     * thread and yield at each message.
     */
    private class Schedule(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val clock = TestClock()
        private val hub = FakePeerHub()
        private val seats = random.nextInt(2, 5)
        private val endpoints = List(2) { DeclaredEndpoint(EndpointId("e$it"), ZONE, random.nextInt(1, 8)) }
        private val inFlight = mutableListOf<Held>()

        /** The holder of each seat; [replace] replaces a holder that is killed, loses its seat or shuts down. */
        private val holders = arrayOfNulls<Router>(seats)

        /** Routers without a seat, which still serve callers on borrowed slots. */
        private val withoutSeat = mutableListOf<Router>()
        private var partitioned = emptySet<InstanceId>()
        private var nextNumber = 1L
        val log = mutableListOf<String>()
        val counts = HashMap<String, Int>()
        var violation: String? = null

        class Held(
            val router: Router,
            val permit: EndpointPermit,
            val acquiredAt: TimeMark,
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
                    UnreliableNetwork(hub.join(incarnation)),
                    clock.monotonic,
                    Random(random.nextLong()),
                    policy = POLICY,
                    listener = this,
                )

            fun updateSeat(
                seat: Int?,
                wasDrained: Boolean = false,
            ) {
                limiter.update(listOf(RouteQueueConfig(ROUTE)), seat, wasDrained, seats, endpoints)
            }

            suspend fun acquire() {
                val candidates =
                    endpoints
                        .map {
                            EndpointCandidate(
                                it.endpoint,
                                ZONE,
                            )
                        }.shuffled(random)
                        .take(random.nextInt(1, 3))
                val permit = limiter.acquire(ROUTE, WorkspaceId("w"), candidates, Duration.ofHours(1)).get() ?: return
                inFlight += Held(this, permit, clock.monotonic.markNow())
                record("acquired", "$incarnation ${permit.endpoint}")
                check(permit.endpoint)
            }

            override fun onLent(
                endpoint: EndpointId,
                peer: InstanceId,
                slots: Int,
            ) = record("lent", "$incarnation to $peer $endpoint $slots")
        }

        /** Delays messages and replies by a random number of steps, and loses one reply in five. */
        private inner class UnreliableNetwork(
            private val network: PeerNetwork,
        ) : PeerNetwork by network {
            override suspend fun <Q : Any, A : Any> ask(
                to: InstanceId,
                topic: PeerTopic<Q, A>,
                message: Q,
                timeout: Duration,
            ): Result<A, PeerError> {
                repeat(random.nextInt(4)) { yield() }
                val response = network.ask(to, topic, message, timeout)
                repeat(if (random.nextInt(4) == 0) random.nextInt(60) else random.nextInt(3)) { yield() }
                if (random.nextInt(5) > 0) return response
                record("lost", "reply of $to")
                return Err(PeerError.Timeout(to, timeout))
            }
        }

        suspend fun run(scope: CoroutineScope) {
            hub.fault =
                { from, to ->
                    if ((from in partitioned) !=
                        (to in partitioned)
                    ) {
                        PeerFault.REQUEST_LOST
                    } else {
                        PeerFault.NONE
                    }
                }
            for (seat in 0 until seats) {
                start(
                    "r$seat",
                    scope,
                ).also { holders[seat] = it }.updateSeat(seat, wasDrained = true)
            }
            withoutSeat += start("r$seats", scope).also { it.updateSeat(null) }
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
                    16 ->
                        partitioned =
                            holders
                                .filterNotNull()
                                .filter { random.nextInt(3) == 0 }
                                .map { it.instance }
                                .toSet()
                    17 -> partitioned = emptySet()
                    else -> if (random.nextInt(3) == 0) replace(seat, scope)
                }
                repeat(random.nextInt(8)) { yield() }
            }
            scope.coroutineContext.job.children
                .toList()
                .forEach { it.cancelAndJoin() }
        }

        /** Replaces the holder of a seat after it was killed, lost its seat, or shut down gracefully. */
        private suspend fun replace(
            seat: Int,
            scope: CoroutineScope,
        ) {
            val old = holders[seat] ?: return
            when (random.nextInt(3)) {
                0 -> {
                    record("killed", "${old.incarnation}")
                    kill(old)
                    if (random.nextBoolean()) {
                        takeOver(seat, start(old.instance.value, scope))
                    } else {
                        advance(60_000)
                        takeOver(seat, start("n$nextNumber", scope))
                    }
                }
                1 -> {
                    // The holder was paused or partitioned: it is still alive, and its requests still run at the endpoints.
                    record("seatLost", "${old.incarnation}")
                    old.updateSeat(null)
                    withoutSeat += old
                    takeOver(seat, start("n$nextNumber", scope))
                }
                else -> {
                    old.limiter.close()
                    inFlight.filter { it.router === old }.forEach(::release)
                    old.limiter.close()
                    val wasDrained = old.limiter.isSeatDrained
                    record(if (wasDrained) "left" else "leftWithLoans", "${old.incarnation}")
                    old.updateSeat(null)
                    kill(old)
                    takeOver(seat, start("n$nextNumber", scope), wasDrained)
                }
            }
        }

        private fun takeOver(
            seat: Int,
            next: Router,
            wasDrained: Boolean = false,
        ) {
            record("takenOver", "seat $seat by ${next.incarnation} wasDrained=$wasDrained")
            holders[seat] = next
            next.updateSeat(seat, wasDrained)
        }

        private fun start(
            name: String,
            scope: CoroutineScope,
        ) = Router(InstanceId(name), CoroutineScope(scope.coroutineContext + Job(scope.coroutineContext.job)))

        private suspend fun kill(router: Router) {
            hub.disconnect(router.instance)
            inFlight.removeAll { it.router === router }
            router.scope.coroutineContext.job
                .cancelAndJoin()
            inFlight.removeAll { it.router === router }
        }

        private fun release(held: Held) {
            inFlight -= held
            held.permit.release(EndpointOutcome.Ignored)
        }

        /** Advances the clock and ends requests at their maximum duration, as the limiter requires of its caller. */
        private fun advance(millis: Long) {
            log += "advance $millis ms"
            var left = Duration.ofMillis(millis)
            while (!left.isZero) {
                val step = minOf(left, Duration.ofSeconds(1))
                clock.advance(step)
                left -= step
                val maxDuration = POLICY.maxRequestDuration.toKotlinDuration()
                inFlight.filter { it.acquiredAt.elapsedNow() >= maxDuration }.forEach(::release)
            }
            holders.filterNotNull().filter { holder -> holder.limiter.status().any { it.baseSlots > 0 } }.forEach { _ ->
                counts.merge("settled", 1, Int::plus)
            }
        }

        private fun check(endpoint: EndpointId) {
            val count = inFlight.count { it.permit.endpoint == endpoint }
            val maxInFlight = endpoints.single { it.endpoint == endpoint }.maxInFlight
            if (count == maxInFlight) counts.merge("atLimit", 1, Int::plus)
            if (count > maxInFlight && violation == null) {
                violation =
                    "$count of $maxInFlight at $endpoint: ${inFlight.map {
                        "${it.router.incarnation} ${it.permit.endpoint}"
                    }}"
            }
        }

        private fun record(
            name: String,
            what: String,
        ) {
            counts.merge(name, 1, Int::plus)
            log += "$name $what"
        }
    }

    private companion object {
        /** Number of schedules; set `-Dlimpetfold.seeds=40000` for a longer run. */
        val SEEDS: Int = Integer.getInteger("limpetfold.seeds", 2_000)
        const val STEPS = 120
        val ZONE = ZoneId("z")
        val ROUTE = RouteId("r")

        /** Real time must not trigger rounds of borrowing, since they are steps of the schedule. */
        val POLICY = LimitPolicy(borrowInterval = Duration.ofHours(1), peerTimeout = Duration.ofHours(1))
    }
}
