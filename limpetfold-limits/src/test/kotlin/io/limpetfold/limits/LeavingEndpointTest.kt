package io.limpetfold.limits

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.time.Duration
import kotlin.random.Random

class LeavingEndpointTest :
    FunSpec({
        val signals = listOf(EndpointSignal.ConnectionRefused, EndpointSignal.Draining, EndpointSignal.ListedLeaving)
        for (signal in signals) {
            test("an endpoint gets no new requests after $signal from this router and, once notified, from its peers") {
                val fleet = Fleet()
                fleet.limiters[0].observe(LEAVING, signal)
                fleet.chosen(0) shouldBe setOf(STAYING)
                fleet.chosen(1) shouldBe setOf(STAYING, LEAVING)
                fleet.limiters[0].notifyPeers()
                for (router in 0..2) fleet.chosen(router) shouldBe setOf(STAYING)
            }
        }

        test("a leaving notice is sent again after a loss, and forwarded to routers that its origin can't reach") {
            val fleet = Fleet()
            fleet.hub.fault = { from, _ -> if (from.value == "r0") PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.limiters[0].observe(LEAVING, EndpointSignal.Draining)
            fleet.limiters[0].notifyPeers()
            fleet.chosen(1) shouldBe setOf(STAYING, LEAVING)
            fleet.hub.fault =
                { from, to ->
                    if (setOf(from.value, to.value) ==
                        setOf("r0", "r2")
                    ) {
                        PeerFault.REQUEST_LOST
                    } else {
                        PeerFault.NONE
                    }
                }
            fleet.limiters[0].maintain()
            fleet.chosen(1) shouldBe setOf(STAYING)
            fleet.chosen(2) shouldBe setOf(STAYING, LEAVING)
            fleet.limiters[1].maintain()
            fleet.chosen(2) shouldBe setOf(STAYING)
        }

        test("the list removes an endpoint from rotation, and only a probe returns it; the probe delay grows") {
            val fleet = Fleet()
            fleet.update(0, isLeaving = true)
            fleet.chosen(0) shouldBe setOf(STAYING)
            fleet.isReady = true
            fleet.pass(60)
            fleet.probes shouldBe 0
            fleet.isReady = false
            fleet.update(0, isLeaving = false)
            fleet.chosen(0) shouldBe setOf(STAYING)
            fleet.pass(31)
            fleet.probes shouldBe 5
            fleet.isReady = true
            fleet.pass(31)
            fleet.chosen(0) shouldBe setOf(STAYING, LEAVING)
        }

        test("a waiting request gets no slot at a leaving endpoint, and is refused when no endpoint is in rotation") {
            coroutineScope {
                val fleet = Fleet()
                val held = List(8) { fleet.acquire(0, long = true).get()!! }
                val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.acquire(0, long = true) }
                fleet.limiters[0].observe(LEAVING, EndpointSignal.ConnectionRefused)
                held.filter { it.endpoint == LEAVING }.forEach { it.release(EndpointOutcome.Failed) }
                waiting.isCompleted shouldBe false
                fleet.limiters[0].observe(STAYING, EndpointSignal.ConnectionRefused)
                waiting.await().getError().shouldBeInstanceOf<LimitRefusal.NoEndpoint>()
            }
        }
    }) {
    /** Three routers that share two endpoints. */
    private class Fleet {
        val hub = FakePeerHub()
        val clock = TestClock()
        var probes = 0
        var isReady = false
        val limiters =
            List(3) {
                val self = Incarnation(InstanceId("r$it"), 1)
                val probe =
                    EndpointProbe {
                        probes++
                        isReady
                    }
                EndpointLimiter(self, ZONE, hub.join(self), clock.monotonic, Random(it), probe)
            }

        init {
            limiters.indices.forEach { update(it, isLeaving = false) }
        }

        fun update(
            router: Int,
            isLeaving: Boolean,
        ) {
            val endpoints = listOf(DeclaredEndpoint(STAYING, ZONE, 12), DeclaredEndpoint(LEAVING, ZONE, 12, isLeaving))
            limiters[router].update(listOf(RouteQueueConfig(ROUTE)), router, true, 3, endpoints)
        }

        suspend fun acquire(
            router: Int,
            long: Boolean,
        ) = limiters[router].acquire(
            ROUTE,
            WorkspaceId("w"),
            listOf(STAYING, LEAVING).map { EndpointCandidate(it, ZONE) },
            if (long) Duration.ofMinutes(1) else Duration.ZERO,
        )

        /** The endpoints at which [router] gives slots while it uses up all that it has. */
        suspend fun chosen(router: Int): Set<EndpointId> {
            val permits = List(20) { acquire(router, long = false).get() }.filterNotNull()
            permits.forEach { it.release(EndpointOutcome.Ignored) }
            return permits.map { it.endpoint }.toSet()
        }

        /** Advances the clock by [seconds], with one round of maintenance in each. */
        suspend fun pass(seconds: Int) =
            repeat(seconds) {
                clock.advance(Duration.ofSeconds(1))
                limiters[0].maintain()
            }
    }

    private companion object {
        val ZONE = ZoneId("z")
        val ROUTE = RouteId("r")
        val STAYING = EndpointId("staying")
        val LEAVING = EndpointId("leaving")
    }
}
