package io.limpetfold.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import java.time.Duration

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
    private companion object {
        fun client(
            name: String,
            store: FakeObjectStore,
            clock: TestClock = TestClock(),
            hasEnded: (Incarnation) -> Boolean = { false },
        ) = SeatClient(Incarnation(InstanceId(name), 1), store, clock.monotonic, hasEnded = hasEnded)
    }
}
