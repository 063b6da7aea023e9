package io.limpetfold.gateway.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.dispatch.PromptDemand
import io.limpetfold.dispatch.PromptPart
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.Dispatchers
import java.time.Duration
import kotlin.random.Random

class QuarantineSyncTest :
    FunSpec({
        test("guards against routers that each see one of three crashes by a part and go on sending calls with it") {
            val fleet = Fleet()
            val routers = List(3) { fleet.router("r$it") }
            routers.forEachIndexed { index, router ->
                router.crash("i-$index")
                fleet.maintain()
            }
            routers.map { it.isBlocking() } shouldBe listOf(true, true, true)
        }

        test("guards against a router that starts after a quarantine and sends calls with the part") {
            val fleet = Fleet()
            val first = fleet.router("r0")
            repeat(3) { first.crash("i-$it") }
            fleet.maintain()
            val started = fleet.router("r1")
            fleet.maintain()
            started.isBlocking() shouldBe true
        }

        test("guards against a router that was cut off from its peers and never hears of a quarantine") {
            val fleet = Fleet()
            val first = fleet.router("r0")
            val second = fleet.router("r1")
            fleet.maintain()
            fleet.hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            repeat(3) { first.crash("i-$it") }
            fleet.maintain()
            second.isBlocking() shouldBe false
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.maintain()
            second.isBlocking() shouldBe true
        }

        test("guards against messages while nothing is known") {
            val fleet = Fleet()
            repeat(8) { fleet.router("r$it") }
            repeat(10) { fleet.maintain() }
            fleet.hub.askCount(QUARANTINE_TOPIC) shouldBe 0
        }
    })

private val PROMPT =
    PromptDemand(100, 10, persistentListOf(PromptPart("first", 50), PromptPart("bad", 40), PromptPart("own", 10)))

private class Fleet {
    val hub = FakePeerHub()
    private val clock = TestClock()
    private val routers = mutableListOf<SyncedRouter>()

    fun router(name: String) = SyncedRouter(Incarnation(InstanceId(name), 1)).also { routers += it }

    suspend fun maintain() =
        routers.forEach { router ->
            router.sync.maintain((routers - router).map { Member(it.self, ZoneId("z"), 0, null, isDraining = false) })
        }

    inner class SyncedRouter(
        val self: Incarnation,
    ) {
        private val monotonic = MonotonicClock(clock.monotonic)
        private val quarantine = PromptPartQuarantine()
        private val record =
            QuarantineRecord(quarantine, FakeObjectStore(), monotonic, Random(1), DecisionLog("test")) { routers.size }
        val sync =
            QuarantineSync(quarantine, record, hub.join(self), monotonic, Dispatchers.Unconfined).also { it.register() }

        fun crash(endpoint: String) {
            clock.advance(Duration.ofSeconds(1))
            quarantine.onConnectionLost(EndpointId(endpoint), PROMPT, monotonic.now())
        }

        fun isBlocking() = quarantine.blocks(PROMPT, monotonic.now())
    }
}
