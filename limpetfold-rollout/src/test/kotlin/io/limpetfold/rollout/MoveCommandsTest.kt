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

        fun request(
            id: String,
            operator: String,
        ) = MoveRequest(
            MoveId(id),
            route,
            VersionId("v1"),
            VersionId("v2"),
            operator,
            clock.instant() + Duration.ofMinutes(5),
        )

        test(
            "of two operators who start a move at the same time, the refused one gets an error that names the other and the start time",
        ) {
            val store = FakeObjectStore()
            val winner = MoveCommands(store, clock)
            var hasRaced = false
            val racedStore =
                store.withFaults {
                    if (it is StoreCall.Put && !hasRaced) {
                        hasRaced = true
                        runBlocking { winner.start(request("m1", "ana")) }
                    }
                    StoreFault.NONE
                }

            MoveCommands(racedStore, clock).start(request("m2", "bor")).getError() shouldBe
                MoveError.AlreadyRunning(MoveId("m1"), "ana", clock.instant())
            winner.read(route).get()?.id shouldBe MoveId("m1")
            store.writeCount shouldBe 1
        }

        test("of two operators who roll a move back, the second gets an error that names who ended it and when") {
            val commands = MoveCommands(FakeObjectStore(), clock)
            commands.start(request("m1", "ana"))
            commands.takeBack(route, MoveId("m1"), "bor").get()?.phase shouldBe
                MovePhase.TakenBack(TakeBackReason.Operator("bor"))

            val error =
                commands
                    .takeBack(
                        route,
                        MoveId("m1"),
                        "cene",
                    ).getError()
                    .shouldBeInstanceOf<MoveError.AlreadyEnded>()
            error.endedBy shouldBe "bor"
            error.endedAt shouldBe clock.instant()
            commands.takeBack(route, MoveId("other"), "cene").getError() shouldBe MoveError.NotFound(route)
        }

        test("a start whose response was lost is idempotent: a retry returns the same move and writes nothing") {
            val store = FakeObjectStore()
            var losses = 1
            val lossyStore =
                store.withFaults {
                    if (it is StoreCall.Put &&
                        losses-- > 0
                    ) {
                        StoreFault.RESPONSE_LOST
                    } else {
                        StoreFault.NONE
                    }
                }
            MoveCommands(lossyStore, clock).start(request("m1", "ana")).get()?.id shouldBe MoveId("m1")
            MoveCommands(store, clock).start(request("m1", "ana")).get()?.id shouldBe MoveId("m1")
            store.writeCount shouldBe 1
        }

        test("a running move past its deadline counts as rolled back, so another may start") {
            val ownClock = TestClock()
            val commands = MoveCommands(FakeObjectStore(), ownClock)
            commands.start(request("m1", "ana"))
            ownClock.advance(Duration.ofMinutes(6))
            commands
                .start(
                    request("m2", "bor").copy(deadline = ownClock.instant() + Duration.ofMinutes(5)),
                ).get()
                ?.id shouldBe
                MoveId("m2")
        }

        test("an unavailable store and a deadline that is too near give different errors") {
            val unavailableStore = FakeObjectStore().withFaults { StoreFault.UNAVAILABLE }
            val error =
                MoveCommands(
                    unavailableStore,
                    clock,
                ).start(request("m1", "ana")).getError().shouldBeInstanceOf<MoveError.Store>()
            error.error.shouldBeInstanceOf<StoreError.Unavailable>()
            val tooNear = request("m1", "ana").copy(deadline = clock.instant() + Duration.ofSeconds(30))
            MoveCommands(unavailableStore, clock).start(tooNear).getError().shouldBeInstanceOf<MoveError.Invalid>()
        }
    })
