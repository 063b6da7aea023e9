package io.limpetfold.rollout

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.LeaseClient
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

class RestoredCompletionTest :
    FunSpec({
        // After a restore, routers may have raised a verdict on the version of the move that the store holds now.
        test("guards against a completion that is written although the store was restored since the routers agreed") {
            val clock = TestClock()
            val memory = FakeObjectStore()
            var isRestoreDue = false
            val store =
                memory.withFaults { call ->
                    if (isRestoreDue && call == StoreCall.Get(MoveRecord.key(ROUTE))) {
                        isRestoreDue = false
                        memory.restore(memory.copy())
                    }
                    StoreFault.NONE
                }
            val moves = TypedObject(memory, MoveRecord.key(ROUTE), MoveRecord.serializer())
            val record = TypedObject.JSON.encodeToString(MoveRecord.serializer(), record(clock.millis()))
            memory.put(moves.key, record, ObjectVersion.NONE)
            val self = Incarnation(InstanceId("r0"), 1)
            val peers = FakePeerHub().join(self)
            val lease = LeaseClient(store, self, clock.monotonic)
            val selector = VersionSelector(store, self, peers, clock, clock.monotonic)
            val noOrders = EndpointOrderSender { _, _ -> Ok(Unit) }
            val directory = InstanceDirectory { Ok(persistentListOf()) }
            val controller =
                MoveController(store, lease, selector, peers, directory, noOrders, clock, clock.monotonic)

            suspend fun round() {
                clock.advance(Duration.ofSeconds(1))
                lease.maintain()
                selector.maintain()
                controller.maintain()
            }
            round()
            moves
                .read()
                .get()
                ?.value
                ?.phase shouldBe MovePhase.Running(0)
            isRestoreDue = true
            round()
            isRestoreDue shouldBe false
            moves
                .read()
                .get()
                ?.value
                ?.phase shouldBe MovePhase.Running(0)
            repeat(5) { round() }
            moves
                .read()
                .get()
                ?.value
                ?.phase shouldBe MovePhase.TakenBack(TakeBackReason.StoreRestored)
        }

        // A program of an earlier version writes no era.
        test("guards against a move that is rolled back because its record names no era") {
            val record = record(0)
            MoveSnapshot(record, ObjectVersion.of(1, era = 2)).isRestored shouldBe false
            MoveSnapshot(record.copy(era = 1), ObjectVersion.of(1, era = 2)).isRestored shouldBe true
            MoveSnapshot(record.copy(era = 2), ObjectVersion.of(1, era = 2)).isRestored shouldBe false
        }
    }) {
    private companion object {
        val ROUTE = RouteId("plan")

        /** A move that is complete as soon as its routers agree. */
        fun record(nowMillis: Long) =
            MoveRecord(
                MoveId("m"),
                ROUTE,
                VersionId("v1"),
                VersionId("v2"),
                "ana",
                nowMillis,
                nowMillis + 300_000,
                MovePlan(
                    MovePreset.AVAILABILITY,
                    listOf(MoveStep(0.5, 10, 0, 0, 0)),
                    errorRate = 0.01,
                    minOutcomes = 0,
                    guardCount = 1,
                ),
                MovePhase.Running(0),
                "ana",
                nowMillis,
            )
    }
}
