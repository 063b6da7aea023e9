package io.limpetfold.gateway.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.dispatch.CallLimitStatement
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.gateway.observe.GatewayMetrics
import io.limpetfold.membership.Member
import io.limpetfold.store.ObjectVersion
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.Dispatchers
import java.time.Duration
import kotlin.random.Random

/** Routers of a large fleet, of which each hears heartbeats of its neighbours only. */
class CallLimitSyncTest :
    FunSpec({
        test(
            "guards against routers that keep away from an endpoint whose limit has ended, because they do not call it",
        ) {
            val fleet = Fleet()
            val routers = List(5) { fleet.router(it) }
            routers.first().state(2.0)
            fleet.maintain(routers)
            routers.map { it.callsPerSecond() } shouldBe List(5) { 2.0 }

            fleet.clock.advance(Duration.ofSeconds(5))
            routers.last().state(null)
            fleet.maintain(routers)
            routers.map { it.callsPerSecond() } shouldBe List(5) { null }
        }

        test("guards against a router that keeps a limit for good because the message of its end was lost") {
            val fleet = Fleet()
            val routers = List(2) { fleet.router(it) }
            routers.first().state(2.0)
            fleet.maintain(routers)
            fleet.clock.advance(Duration.ofSeconds(5))
            fleet.hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            routers.first().state(null)
            fleet.maintain(routers.take(1), among = routers)
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.maintain(routers.take(1), among = routers)
            routers.map { it.callsPerSecond() } shouldBe List(2) { null }
        }

        test("guards against a limit that another router tells late, after it has ended") {
            val fleet = Fleet()
            val (early, late) = List(2) { fleet.router(it) }
            late.state(2.0)
            fleet.clock.advance(Duration.ofSeconds(5))
            early.state(1.0)
            fleet.clock.advance(Duration.ofSeconds(1))
            early.state(null)
            fleet.maintain(listOf(late, early))
            listOf(early, late).map { it.callsPerSecond() } shouldBe listOf(null, null)
        }

        test("guards against a limit of an earlier process that is applied to the one that has its id now") {
            val fleet = Fleet()
            val router = fleet.router(0)
            val renewed = fleet.router(1, startedAtMillis = 2)
            router.state(2.0)
            fleet.maintain(listOf(router, renewed))
            renewed.callsPerSecond() shouldBe null
        }

        test("guards against messages between routers that know of no limit, or have told all others") {
            val fleet = Fleet()
            val routers = List(3) { fleet.router(it) }
            fleet.maintain(routers)
            fleet.hub.askCount(CALL_LIMITS_TOPIC) shouldBe 0
            routers.first().state(2.0)
            fleet.maintain(routers)
            val asked = fleet.hub.askCount(CALL_LIMITS_TOPIC)
            repeat(10) {
                routers.first().state(2.1)
                fleet.maintain(routers)
            }
            fleet.hub.askCount(CALL_LIMITS_TOPIC) shouldBe asked
        }
    }) {
    private class Fleet {
        val clock = TestClock()
        val hub = FakePeerHub()

        fun router(
            index: Int,
            startedAtMillis: Long = 1,
        ) = Router(this, index, startedAtMillis)

        /** Runs enough rounds of [routers] for news to pass from the first to the last of [among], which are in a row. */
        suspend fun maintain(
            routers: List<Router>,
            among: List<Router> = routers,
        ) = repeat(among.size) {
            for (router in routers) {
                val index = among.indexOf(router)
                val neighbours = listOfNotNull(among.getOrNull(index - 1), among.getOrNull(index + 1))
                router.sync.maintain(neighbours.map { it.member })
            }
        }
    }

    private class Router(
        fleet: Fleet,
        index: Int,
        startedAtMillis: Long,
    ) {
        private val self = Incarnation(InstanceId("10.0.0.$index"), 1)
        private val clock = MonotonicClock(fleet.clock.monotonic)
        private val directory = EndpointDirectory()
        private val picker = EndpointPicker(directory, ZoneId("z"), random = Random(index))
        val sync =
            CallLimitSync(
                picker,
                EndpointNoticeObserver(DecisionLog("test"), GatewayMetrics()),
                fleet.hub.join(self),
                clock,
                Dispatchers.Unconfined,
            )
        val member = Member(self, ZoneId("z"), 0, null, isDraining = false)

        init {
            val endpoint = Endpoint(ENDPOINT, startedAtMillis, "s", "10.0.1.1", 80, ZoneId("z"), "v1", 8)
            directory.applyList(listOf(endpoint), ObjectVersion.of(1), clock.now())
            sync.register()
        }

        /** Applies what the endpoint said in a response to this router. */
        fun state(callsPerSecond: Double?) {
            val now = clock.now()
            picker.callLimits.apply(
                checkNotNull(picker.state(ENDPOINT, now)),
                CallLimitStatement(callsPerSecond, now),
                now,
            )
        }

        fun callsPerSecond() = picker.state(ENDPOINT, clock.now())?.callLimit?.callsPerSecond
    }

    private companion object {
        val ENDPOINT = EndpointId("i-1")
    }
}
