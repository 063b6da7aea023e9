package io.limpetfold.limits

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.time.Duration
import kotlin.random.Random
import kotlin.time.TimeSource

class EndpointLimiterTest :
    FunSpec({
        val near = ZoneId("near")
        val route = RouteId("r")
        val endpoint = EndpointId("e")
        val candidates = listOf(EndpointCandidate(endpoint, near))
        val long = Duration.ofMinutes(1)

        fun limiter(
            maxInFlight: Int,
            hub: FakePeerHub = FakePeerHub(),
            name: String = "r0",
            seat: Int? = 0,
            maxRouters: Int = 1,
            limit: RouteQueueConfig = RouteQueueConfig(route),
            timeSource: TimeSource = TestClock().monotonic,
        ) = EndpointLimiter(
            Incarnation(InstanceId(name), 1),
            near,
            hub.join(Incarnation(InstanceId(name), 1)),
            timeSource,
        ).also {
            val endpoints = listOf(DeclaredEndpoint(endpoint, near, maxInFlight))
            it.update(listOf(limit), seat, wasSeatDrained = true, maxRouters, endpoints)
        }

        test("a busy workspace does not starve a small one, and slots are shared by weight") {
            runBlocking {
                val weights =
                    persistentMapOf(WorkspaceId("heavy") to 2)
                val limiter = limiter(maxInFlight = 1, limit = RouteQueueConfig(route, weights = weights))
                val running = limiter.acquire(route, WorkspaceId("large"), candidates, long).get()!!
                val served = mutableListOf<String>()
                val waiters =
                    List(60) { "large" }.plus(List(20) { "heavy" }).plus(List(10) { "small" }).map { workspace ->
                        launch(start = CoroutineStart.UNDISPATCHED) {
                            val permit = limiter.acquire(route, WorkspaceId(workspace), candidates, long).get()!!
                            served += workspace
                            permit.release(EndpointOutcome.Ignored)
                        }
                    }
                running.release(EndpointOutcome.Ignored)
                waiters.forEach { it.join() }
                val first = served.take(40).groupingBy { it }.eachCount()
                println("Fairness: first 40 served $first of 60 large, 20 heavy, 10 small")
                first shouldBe mapOf("large" to 10, "heavy" to 20, "small" to 10)
            }
        }

        test("a full queue refuses the workspace that fills it, not another workspace that joins it") {
            runBlocking {
                val limiter = limiter(maxInFlight = 1, limit = RouteQueueConfig(route, maxQueued = 5))
                val running = limiter.acquire(route, WorkspaceId("large"), candidates, long).get()!!
                val large =
                    List(5) {
                        async(
                            start = CoroutineStart.UNDISPATCHED,
                        ) { limiter.acquire(route, WorkspaceId("large"), candidates, long) }
                    }
                limiter
                    .acquire(
                        route,
                        WorkspaceId("large"),
                        candidates,
                        long,
                    ).getError()
                    .shouldBeInstanceOf<LimitRefusal.QueueFull>()
                val small =
                    async(
                        start = CoroutineStart.UNDISPATCHED,
                    ) { limiter.acquire(route, WorkspaceId("small"), candidates, long) }
                large
                    .last()
                    .await()
                    .getError()
                    .shouldBeInstanceOf<LimitRefusal.QueueFull>()
                running.release(EndpointOutcome.Ignored)
                large
                    .first()
                    .await()
                    .get()!!
                    .release(EndpointOutcome.Ignored)
                small.await().isOk shouldBe true
                (large.drop(1).dropLast(1)).forEach { it.cancelAndJoin() }
            }
        }

        test("a request that times out or is cancelled leaves the queue, and no slot is lost") {
            runBlocking {
                val limiter = limiter(maxInFlight = 1)
                val running = limiter.acquire(route, WorkspaceId("w"), candidates, long).get()!!
                limiter
                    .acquire(
                        route,
                        WorkspaceId("w"),
                        candidates,
                        Duration.ZERO,
                    ).getError()
                    .shouldBeInstanceOf<LimitRefusal.NoCapacity>()
                val cancelled =
                    async(
                        start = CoroutineStart.UNDISPATCHED,
                    ) { limiter.acquire(route, WorkspaceId("w"), candidates, long) }
                val served =
                    async(
                        start = CoroutineStart.UNDISPATCHED,
                    ) { limiter.acquire(route, WorkspaceId("w"), candidates, long) }
                // The first waiter is given the slot, and is cancelled before it can run.
                running.release(EndpointOutcome.Ignored)
                running.release(EndpointOutcome.Ignored)
                cancelled.cancelAndJoin()
                served.await().get()!!.release(EndpointOutcome.Ignored)
                limiter.status().single().inFlight shouldBe 0
            }
        }

        test("routers without a slot of their own make progress while the others stay busy") {
            val hub = FakePeerHub()
            val names = List(4) { "r$it" }
            val limiters =
                names.mapIndexed {
                    seat,
                    name,
                    ->
                    limiter(1, hub, name, seat, maxRouters = 4, timeSource = TimeSource.Monotonic)
                }
            val withoutSeat = limiter(1, hub, "r4", seat = null, maxRouters = 4, timeSource = TimeSource.Monotonic)
            val done =
                withTimeout(60_000) {
                    coroutineScope {
                        (limiters + withoutSeat)
                            .map { limiter ->
                                async {
                                    repeat(6) {
                                        val permit = limiter.acquire(route, WorkspaceId("w"), candidates, long).get()!!
                                        delay(1)
                                        permit.release(EndpointOutcome.Ignored)
                                    }
                                    6
                                }
                            }.awaitAll()
                    }
                }
            done shouldBe List(5) { 6 }
        }

        test("an idle borrowed slot is returned, and a router that loses its seat gets no slot from then on") {
            val hub = FakePeerHub()
            val clock = TestClock()
            val lender = limiter(4, hub, "r0", 0, maxRouters = 2, timeSource = clock.monotonic)
            val borrower = limiter(4, hub, "r1", 1, maxRouters = 2, timeSource = clock.monotonic)
            val permits = List(3) { borrower.acquire(route, WorkspaceId("w"), candidates, long).get()!! }
            lender.status().single().lentSlots shouldBeGreaterThanOrEqual 1
            permits.forEach { it.release(EndpointOutcome.Ignored) }
            clock.advance(Duration.ofSeconds(3))
            borrower.maintain()
            lender.isSeatDrained shouldBe true
            borrower.update(
                listOf(RouteQueueConfig(route)),
                null,
                false,
                2,
                listOf(DeclaredEndpoint(endpoint, near, 4)),
            )
            lender.close()
            borrower.acquire(route, WorkspaceId("w"), candidates, Duration.ZERO).isErr shouldBe true
        }

        test("the local zone is preferred, then the less loaded of two endpoints; old load reports lose weight") {
            val clock = TestClock()
            val limiter =
                EndpointLimiter(
                    Incarnation(InstanceId("r"), 1),
                    near,
                    FakePeerHub().join(Incarnation(InstanceId("r"), 1)),
                    clock.monotonic,
                    Random(1),
                )
            val all =
                listOf("a" to near, "b" to near, "far" to ZoneId("far")).map {
                    DeclaredEndpoint(EndpointId(it.first), it.second, 10)
                }
            limiter.update(listOf(RouteQueueConfig(route)), 0, true, 1, all)
            val allCandidates = all.map { EndpointCandidate(it.endpoint, it.zone) }
            limiter.observe(EndpointId("a"), EndpointSignal.Load(0.9))

            suspend fun next() =
                limiter
                    .acquire(route, WorkspaceId("w"), allCandidates, long)
                    .get()!!
                    .endpoint.value
            List(8) { next() } shouldBe List(8) { "b" }
            clock.advance(Duration.ofMinutes(1))
            List(4) { next() } shouldBe List(4) { "a" }
            List(8) { next() } shouldContain "a"
            next() shouldBe "far"
        }

        test("the adaptive limit falls on slow responses and refusals and recovers on fast responses") {
            val policy = AdaptivePolicy()
            var now = 0L
            var limit = AdaptiveLimit()

            fun observe(
                outcome: EndpointOutcome,
                times: Int,
            ) = repeat(times) {
                now += 100_000_000
                limit = limit.after(outcome, limit.within(20), 20, now, policy)
            }
            observe(EndpointOutcome.Responded(Duration.ofMillis(50)), 50)
            limit.within(20) shouldBe 20
            observe(EndpointOutcome.Responded(Duration.ofMillis(500)), 50)
            limit.limit shouldBeLessThan 8.0
            observe(EndpointOutcome.Overloaded, 200)
            limit.within(20) shouldBe 1
            observe(EndpointOutcome.Responded(Duration.ofMillis(50)), 300)
            limit.limit shouldBeGreaterThan 15.0
        }
    })
