package io.limpetfold.rollout

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.store.StoreError
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.runBlocking
import java.time.Duration

class MoveCommandsTest :
    FunSpec({
        val route = RouteId("plan")
        val clock = TestClock()

        fun order(
            id: String,
            operator: String,
        ) = MoveRequest(MoveId(id), route, VersionId("v1"), VersionId("v2"), operator, clock.instant() + Duration.ofMinutes(5))

        test("of two operators who start at the same time, the loser is told who won and when") {
            val store = FakeObjectStore()
            val winner = MoveCommands(store, clock)
            var hasRaced = false
            val raced =
                store.withFaults {
                    if (it is StoreCall.Put && !hasRaced) {
                        hasRaced = true
                        runBlocking { winner.start(order("m1", "ana")) }
                    }
                    StoreFault.NONE
                }

            MoveCommands(raced, clock).start(order("m2", "bor")).getError() shouldBe
                MoveError.AlreadyRunning(MoveId("m1"), "ana", clock.instant())
            winner.read(route).get()?.id shouldBe MoveId("m1")
            store.writeCount shouldBe 1
        }

        test("of two operators who roll back, the second is told who ended the move") {
            val commands = MoveCommands(FakeObjectStore(), clock)
            commands.start(order("m1", "ana"))
            commands.takeBack(route, MoveId("m1"), "bor").get()?.phase shouldBe MovePhase.TakenBack(TakeBackReason.Operator("bor"))

            val error = commands.takeBack(route, MoveId("m1"), "cene").getError().shouldBeInstanceOf<MoveError.AlreadyEnded>()
            error.endedBy shouldBe "bor"
            error.endedAt shouldBe clock.instant()
            commands.takeBack(route, MoveId("other"), "cene").getError() shouldBe MoveError.NotFound(route)
        }

        test("a start whose answer was lost is recognised and has no second effect") {
            val store = FakeObjectStore()
            var losses = 1
            val lossy = store.withFaults { if (it is StoreCall.Put && losses-- > 0) StoreFault.ANSWER_LOST else StoreFault.NONE }
            MoveCommands(lossy, clock).start(order("m1", "ana")).get()?.id shouldBe MoveId("m1")
            MoveCommands(store, clock).start(order("m1", "ana")).get()?.id shouldBe MoveId("m1")
            store.writeCount shouldBe 1
        }

        test("a running move past its deadline counts as rolled back, so another may start") {
            val own = TestClock()
            val commands = MoveCommands(FakeObjectStore(), own)
            commands.start(order("m1", "ana"))
            own.advance(Duration.ofMinutes(6))
            commands.start(order("m2", "bor").copy(deadline = own.instant() + Duration.ofMinutes(5))).get()?.id shouldBe MoveId("m2")
        }

        test("an outage and a deadline that is too near are told apart") {
            val down = FakeObjectStore().withFaults { StoreFault.UNAVAILABLE }
            val store = MoveCommands(down, clock).start(order("m1", "ana")).getError().shouldBeInstanceOf<MoveError.Store>()
            store.error.shouldBeInstanceOf<StoreError.Unavailable>()
            val near = order("m1", "ana").copy(deadline = clock.instant() + Duration.ofSeconds(30))
            MoveCommands(down, clock).start(near).getError().shouldBeInstanceOf<MoveError.Invalid>()
        }
    })
