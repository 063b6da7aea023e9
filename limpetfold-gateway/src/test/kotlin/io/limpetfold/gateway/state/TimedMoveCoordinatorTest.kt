package io.limpetfold.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.MoveStatus
import io.limpetfold.rollout.timed.ServiceVersion
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import kotlinx.coroutines.Dispatchers
import java.time.Duration

class TimedMoveCoordinatorTest :
    FunSpec({
        val withdrawn = VersionId("v2")

        test("guards against a router that starts after the order is gone and sends to the withdrawn version") {
            val fleet = CoordinatorFleet()
            val first = fleet.router("r0")
            first.takeBack(withdrawn)
            val started = fleet.router("r1")
            fleet.present = setOf(ServiceVersion("app", withdrawn))
            fleet.maintain()
            started.selector.withdrawnVersions("app") shouldBe setOf(withdrawn)
        }

        test("guards against messages about a withdrawn version without endpoints") {
            val fleet = CoordinatorFleet()
            fleet.router("r0").takeBack(withdrawn)
            fleet.router("r1")
            repeat(10) { fleet.maintain() }
            fleet.hub.askCount(MOVES_TOPIC) shouldBe 0
        }

        test("guards against messages in each round about a withdrawn version that all routers know") {
            val fleet = CoordinatorFleet()
            fleet.router("r0").takeBack(withdrawn)
            repeat(2) { fleet.router("r${it + 1}") }
            fleet.present = setOf(ServiceVersion("app", withdrawn))
            repeat(2) { fleet.maintain() }
            val asked = fleet.hub.askCount(MOVES_TOPIC)
            repeat(10) { fleet.maintain() }
            fleet.hub.askCount(MOVES_TOPIC) shouldBe asked
            val started = fleet.router("r3")
            fleet.maintain()
            started.selector.withdrawnVersions("app") shouldBe setOf(withdrawn)
        }
    })

/** Routers that know each other and share no store. */
private class CoordinatorFleet {
    val hub = FakePeerHub()
    var present = emptySet<ServiceVersion>()
    private val routers = mutableListOf<Router>()

    fun router(name: String) = Router(Incarnation(InstanceId(name), 1)).also { routers += it }

    suspend fun maintain() =
        routers.forEach { router ->
            val others = (routers - router).map { Member(it.self, ZoneId("z1"), 1, null, isDraining = false) }
            router.coordinator.maintain(others)
        }

    inner class Router(
        val self: Incarnation,
    ) {
        val selector = TimedVersionSelector(self, { Duration.ofSeconds(100) })
        val coordinator =
            TimedMoveCoordinator(
                selector,
                NoOrders,
                FakeObjectStore(),
                hub.join(self),
                Dispatchers.Unconfined,
                DecisionLog("test"),
            ) { present }.also { it.register() }

        /** Takes a move of the service `app` to [version] back, and removes its order. */
        fun takeBack(version: VersionId) {
            val duration = Duration.ofSeconds(12)
            selector.applyOrder(MoveOrder("app", version, duration, MoveStatus.TAKEN_BACK, ObjectVersion.of(2)))
            selector.removeOrder("app")
        }
    }
}

private object NoOrders : MoveOrderCodec {
    override fun decode(stored: StoredObject): Result<MoveOrder, String> = Err("no orders in this test")

    override fun encodeStatus(
        order: MoveOrder,
        status: MoveStatus,
    ): String = error("no status in this test")
}
