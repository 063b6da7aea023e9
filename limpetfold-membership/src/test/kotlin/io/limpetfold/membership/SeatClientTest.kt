package io.limpetfold.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.runBlocking
import java.time.Duration
import kotlin.random.Random

/** Guards against two routers that use one seat, or one router that holds two, after lost responses and pauses. */
class SeatClientTest :
    FunSpec({
        test("each router gets a different seat, and a router above the maximum gets none") {
            val store = FakeObjectStore()
            val clients = (1..4).map { client("router-$it", store) }
            clients.forEach { it.maintain(3) }

            clients.mapNotNull { it.seat?.number } shouldContainExactlyInAnyOrder listOf(0, 1, 2)
        }

        test("a claim whose response was lost does not leave the router with two seats") {
            val shared = FakeObjectStore()
            var isFirst = true
            val lossy =
                shared.withFaults { call ->
                    if (call is StoreCall.Put &&
                        isFirst
                    ) {
                        StoreFault.RESPONSE_LOST.also { isFirst = false }
                    } else {
                        StoreFault.NONE
                    }
                }
            val client = client("router-1", lossy)
            client.maintain(3)
            client.maintain(3)

            (client.seat != null) shouldBe true
            shared.writeCount shouldBe 1
        }

        test("a router that was paused for too long does not use a seat that was taken over") {
            val store = FakeObjectStore()
            val clock = TestClock()
            val ended = mutableSetOf<InstanceId>()
            val paused = client("router-1", store, clock) { it.instance in ended }
            paused.maintain(1)
            clock.advance(Duration.ofMinutes(2))
            ended += InstanceId("router-1")
            val successor = client("router-2", store, clock) { it.instance in ended }
            successor.maintain(1)

            successor.seat shouldBe Seat(0, wasDrained = false)
            paused.seat shouldBe null
            paused.maintain(1)
            paused.seat shouldBe null
        }

        test("no schedule with restores of the store gives one seat to two routers") {
            val failures = (0 until SCHEDULES).mapNotNull { RestoreSchedule(it).run() }
            println("seats: $SCHEDULES schedules, ${failures.size} failures, ${RestoreSchedule.seatsTaken} seats taken")
            failures.firstOrNull() shouldBe null
            RestoreSchedule.seatsTaken shouldBeGreaterThan SCHEDULES * 3
        }

        test("a router that is disconnected from the platform keeps its seat") {
            val shared = FakeObjectStore()
            var isDown = false
            val clock = TestClock()
            val client =
                client("router-1", shared.withFaults { if (isDown) StoreFault.UNAVAILABLE else StoreFault.NONE }, clock)
            client.maintain(2)
            val seat = client.seat
            isDown = true
            repeat(600) {
                clock.advance(Duration.ofSeconds(1))
                client.maintain(2)
            }

            client.seat shouldBe seat
        }
    }) {
    /** Routers that start, stop and lose contact with the store or with each other, around restores of the store. */
    private class RestoreSchedule(
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val clock = TestClock()
        private val store = FakeObjectStore()
        private val copies = mutableListOf(store.copy())
        private val log = mutableListOf<String>()
        private val routers = MutableList(3) { Router(it, 1) }

        fun run(): String? {
            repeat(150) {
                runBlocking { step() }
                val seats = routers.mapNotNull { it.client.seat?.number }
                if (seats.size != seats.toSet().size) return "seats $seats; seed=$seed schedule=$log"
            }
            return null
        }

        private suspend fun step() {
            val router = routers.random(random)
            when (random.nextInt(24)) {
                0 -> copies += store.copy()
                1 -> {
                    val index = random.nextInt(copies.size)
                    store.restore(copies[index])
                    log += "restore of copy $index"
                }
                2 -> routers[router.index] = Router(router.index, router.incarnation.number + 1)
                3 -> router.client.release(isDrained = random.nextBoolean())
                4 -> router.isCutOff = !router.isCutOff
                5 -> clock.advance(Duration.ofSeconds(random.nextLong(120)))
                else -> {
                    clock.advance(Duration.ofMillis(random.nextLong(8_000)))
                    routers.shuffled(random).take(random.nextInt(1, 4)).forEach {
                        log += "maintain ${it.incarnation}"
                        val before = it.client.seat
                        it.client.maintain(4)
                        if (before == null && it.client.seat != null) seatsTaken++
                    }
                }
            }
        }

        private inner class Router(
            val index: Int,
            number: Long,
        ) {
            val incarnation = Incarnation(InstanceId("router-$index"), number)
            var isCutOff = false
            private val checkedStore = EraCheckedStore(store.withFaults { fault() }, timeSource = clock.monotonic)
            val client =
                SeatClient(
                    incarnation,
                    checkedStore,
                    clock.monotonic,
                    era = { checkedStore.era },
                    seatsOfOthers = ::seatsOfOthers,
                    hasEnded = { ended -> routers.none { it.incarnation == ended } },
                )

            private fun fault(): StoreFault =
                when {
                    isCutOff -> StoreFault.UNAVAILABLE
                    random.nextInt(10) == 0 -> StoreFault.entries.random(random)
                    else -> StoreFault.NONE
                }

            private fun seatsOfOthers(): Set<Int>? =
                if (random.nextInt(4) == 0) {
                    null
                } else {
                    routers.filter { it.index != index }.mapNotNull { it.client.seat?.number }.toSet()
                }
        }

        companion object {
            var seatsTaken = 0
        }
    }

    private companion object {
        const val SCHEDULES = 3_000

        fun client(
            name: String,
            store: FakeObjectStore,
            clock: TestClock = TestClock(),
            hasEnded: (Incarnation) -> Boolean = { false },
        ) = SeatClient(Incarnation(InstanceId(name), 1), store, clock.monotonic, hasEnded = hasEnded)
    }
}
