package io.limpetfold.rollout

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.LeaseClient
import io.limpetfold.store.ObjectVersion
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

class VersionSelectorTest :
    FunSpec({
        val route = RouteId("plan")
        val old = VersionId("v1")
        val new = VersionId("v2")

        class Fleet {
            val clock = TestClock()
            val store = FakeObjectStore()
            var isStoreUnavailable = false
            val hub = FakePeerHub()
            val routers =
                (0..2).map {
                    val self = Incarnation(InstanceId("r$it"), 1)
                    val faultyStore =
                        store.withFaults {
                            if (isStoreUnavailable) StoreFault.UNAVAILABLE else StoreFault.NONE
                        }
                    VersionSelector(faultyStore, self, hub.join(self), clock, clock.monotonic)
                }

            suspend fun start(): MoveSnapshot {
                val deadline = clock.instant() + Duration.ofMinutes(5)
                val request = MoveRequest(MoveId("m"), route, old, new, "ana", deadline)
                val record = checkNotNull(MoveCommands(store, clock).start(request).get())
                val granted = record.copy(weight = 0.5, grants = mapOf("r0@1" to 20L, "r1@1" to 20L))
                return MoveSnapshot(granted, ObjectVersion.of(2)).also { snapshot ->
                    routers.forEach { it.handleReportQuery(ReportQuery(listOf(snapshot))) }
                }
            }

            fun send(
                router: Int,
                count: Int,
                isBad: Boolean,
            ): Int =
                (1..count).count { n ->
                    val choice = routers[router].choose(route, RequestId("$router-$n-${clock.millis()}"))
                    routers[router].record(
                        choice,
                        VersionObservation(isSuccess = !(isBad && choice.side == MoveSide.NEW)),
                    )
                    choice.side == MoveSide.NEW
                }
        }

        test("guards against a restore of the store that undoes a known outcome or hides lost grants") {
            val fleet = Fleet()
            val running = fleet.start()
            val fewer = MoveSnapshot(running.record.copy(grants = mapOf("r0@1" to 4L)), ObjectVersion.of(1, era = 1))
            val report =
                fleet.routers[0]
                    .handleReportQuery(ReportQuery(listOf(fewer)))
                    .moves
                    .single()
            report.hasLostGrants shouldBe true
            val view = MoveView(fleet.clock.millis(), mapOf(Incarnation(InstanceId("r0"), 1) to report), emptySet())
            MoveDecider.decide(fewer.record, view) shouldBe
                MoveDecision.Write(fewer.record.copy(phase = MovePhase.TakenBack(TakeBackReason.StoreRestored)))

            val ended = running.record.copy(phase = MovePhase.TakenBack(TakeBackReason.Operator("ana")))
            val router = fleet.routers[1]
            router.handleReportQuery(ReportQuery(listOf(MoveSnapshot(ended, ObjectVersion.of(9)))))
            val earlier = running.record.copy(id = MoveId("l"), startedAtMillis = ended.startedAtMillis - 1)
            for ((revision, restored) in listOf(running.record, earlier).withIndex()) {
                val snapshot = MoveSnapshot(restored, ObjectVersion.of(revision + 1L, era = 1))
                router.handleReportQuery(ReportQuery(listOf(snapshot)))
                router.moves() shouldBe listOf(ended)
            }
            val later = running.record.copy(id = MoveId("n"), startedAtMillis = ended.startedAtMillis + 1)
            router.handleReportQuery(ReportQuery(listOf(MoveSnapshot(later, ObjectVersion.of(3, era = 1)))))
            router.moves() shouldBe listOf(later)
        }

        test("a controller writes an outcome again that a restore of the store took back") {
            val fleet = Fleet()
            val copies = mutableListOf(fleet.store.copy())
            val commands = MoveCommands(fleet.store, fleet.clock)
            commands.start(
                MoveRequest(
                    MoveId("m"),
                    route,
                    old,
                    new,
                    "ana",
                    fleet.clock.instant() + Duration.ofMinutes(5),
                ),
            )
            copies += fleet.store.copy()
            commands.takeBack(route, MoveId("m"), "ana")
            val ended = commands.read(route).get()
            val selector = fleet.routers[0]
            selector.maintain()
            for (copy in copies) {
                fleet.store.restore(copy)
                val self = Incarnation(InstanceId("r0"), 1)
                val lease = LeaseClient(fleet.store, self, fleet.clock.monotonic)
                val controller =
                    MoveController(
                        fleet.store,
                        lease,
                        selector,
                        fleet.hub.join(self),
                        { Ok(persistentListOf()) },
                        { _, _ -> Ok(Unit) },
                        fleet.clock,
                        fleet.clock.monotonic,
                    )
                repeat(20) {
                    fleet.clock.advance(Duration.ofSeconds(1))
                    lease.maintain()
                    selector.maintain()
                    controller.maintain()
                }
                commands.read(route).get()?.phase shouldBe ended?.phase
            }
        }

        test(
            "a configuration published after the end of a move replaces its outcome, and one published before does not",
        ) {
            val fleet = Fleet()
            fleet.start()
            val startedAt = fleet.clock.millis()
            fleet.clock.advance(Duration.ofMinutes(6))

            fun choose(publishedAtMillis: Long) =
                fleet.routers[0].choose(route, RequestId("q"), configuredAtMillis = publishedAtMillis).version
            choose(startedAt) shouldBe old
            choose(fleet.clock.millis()) shouldBe null
        }

        test(
            "a partitioned router switches to the old version at the deadline, and to the new one only if no old endpoint is left",
        ) {
            val fleet = Fleet()
            fleet.start()
            fleet.isStoreUnavailable = true
            fleet.hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            fleet.clock.advance(Duration.ofSeconds(299))
            val before = (1..50).map { fleet.routers[0].choose(route, RequestId("a$it")).version }.toSet()
            before shouldBe setOf(old, new)
            fleet.clock.advance(Duration.ofSeconds(1))
            fleet.routers[0].maintain()
            (1..50).map { fleet.routers[0].choose(route, RequestId("b$it")).version }.toSet() shouldBe setOf(old)
            fleet.routers[0].choose(route, RequestId("c"), hasOldEndpoint = false).version shouldBe new
        }

        test("a partitioned router that knows of the completion keeps the new version after the deadline") {
            val fleet = Fleet()
            val started = fleet.start()
            val completed = MoveSnapshot(started.record.copy(phase = MovePhase.Completed), ObjectVersion.of(3))
            fleet.routers[1].handleReportQuery(ReportQuery(listOf(completed)))
            fleet.isStoreUnavailable = true
            fleet.clock.advance(Duration.ofSeconds(400))
            fleet.routers[1].choose(route, RequestId("c")).version shouldBe new
            // The completion also propagates from peer to peer while the platform is unavailable.
            fleet.routers[0].choose(route, RequestId("c")).version shouldBe old
            fleet.routers[0].maintain()
            fleet.routers[0].choose(route, RequestId("c")).version shouldBe new
        }

        test("no request goes to the new version after the grant is used up, or without a grant") {
            val fleet = Fleet()
            fleet.start()
            fleet.send(0, 500, isBad = false) shouldBe 20
            fleet.send(2, 500, isBad = false) shouldBe 0
        }

        test("a verdict is sent to all peers directly, and they withdraw the new version for the rest of the move") {
            val fleet = Fleet()
            val started = fleet.start()
            val exposed = fleet.send(0, 500, isBad = true)
            println("guard: withdrawn after $exposed requests at weight 0.5")
            (exposed < 20) shouldBe true
            fleet.isStoreUnavailable = true
            fleet.routers[0].sendVerdicts()
            fleet.send(1, 500, isBad = false) shouldBe 0
            val later = MoveSnapshot(started.record.copy(grants = mapOf("r1@1" to 90L)), ObjectVersion.of(9))
            fleet.routers[1].handleReportQuery(ReportQuery(listOf(later)))
            fleet.send(1, 500, isBad = false) shouldBe 0
            fleet.clock.advance(Duration.ofSeconds(400))
            fleet.routers[1].choose(route, RequestId("c"), hasOldEndpoint = false).version shouldBe old
        }

        test("a router that agreed to the completion raises no verdict until it receives a newer object version") {
            val fleet = Fleet()
            val started = fleet.start()
            fleet.routers[0].handleReportQuery(ReportQuery(listOf(started), setOf(started.record.id)))
            fleet.send(0, 500, isBad = true)
            fleet.routers[0].verdict(started.record.id) shouldBe null
            fleet.send(0, 50, isBad = true) shouldBe 0
            fleet.routers[0].handleReportQuery(
                ReportQuery(listOf(MoveSnapshot(started.record.copy(weight = 0.6), ObjectVersion.of(3)))),
            )
            fleet.routers[0].verdict(started.record.id)?.metric shouldBe GuardMetric.FAILURES
        }
    })
