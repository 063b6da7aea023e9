package io.limpetfold.measure.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.limits.DeclaredEndpoint
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.limits.RouteQueueConfig
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.math.ln
import kotlin.random.Random

/** One seeded run of routers that share endpoints. Without lending, routers see no peers and use their base shares. */
internal class LimitsSimulation(
    private val settings: LimitsSettings,
    private val scenario: LimitsScenario,
    seed: Long,
    private val isLending: Boolean,
) {
    private val random = Random(seed)
    private val time = VirtualTimeDispatcher()
    private val scope = CoroutineScope(time + Job())
    private val hub = FakePeerHub()
    private val endpoints =
        List(settings.endpoints) { DeclaredEndpoint(EndpointId("e$it"), ZONE, settings.maxInFlight) }
    private val inFlight = HashMap<EndpointId, Int>()
    private val nodes = MutableList(settings.routers) { Node(it, InstanceId("r$it"), 1, wasSeatDrained = true) }
    private val result = LimitsRunResult()
    private val faultMillis = settings.duration.toMillis() / 4

    /** Requests per second that all slots together can serve. */
    private val capacityRate = settings.endpoints * settings.maxInFlight * 1_000.0 / settings.serviceTime.toMillis()

    fun run(): LimitsRunResult {
        val end = settings.duration.toMillis()
        scope.launch { generateArrivals(capacityRate * scenario.load, end) { pickRouter() } }
        scope.launch { injectFaults() }
        time.runUntil(end)
        scope.cancel()
        return result
    }

    private suspend fun generateArrivals(
        rate: Double,
        untilMillis: Long,
        pick: () -> Int,
    ) {
        while (time.nowMillis < untilMillis) {
            delay((-ln(1 - random.nextDouble()) * 1_000 / rate).toLong())
            val node = nodes[pick()]
            if (node.isServing) node.scope.launch { sendRequest(node) }
        }
    }

    private fun pickRouter(): Int =
        if (random.nextDouble() < scenario.skew) {
            random.nextInt(2)
        } else {
            random.nextInt(nodes.size)
        }

    private suspend fun sendRequest(node: Node) {
        result.requests++
        val start = time.nowMillis
        val candidates = endpoints.map { EndpointCandidate(it.endpoint, ZONE) }
        val permit = node.limiter.acquire(ROUTE, WORKSPACE, candidates, settings.maxWait).get()
        if (permit == null) {
            result.refused++
            return
        }
        result.waitsMillis += time.nowMillis - start
        val inFlightNow = inFlight.merge(permit.endpoint, 1, Int::plus) ?: 0
        result.maxInFlight = maxOf(result.maxInFlight, inFlightNow)
        try {
            delay((settings.serviceTime.toMillis() * random.nextDouble(MIN_SERVICE, MAX_SERVICE)).toLong())
        } finally {
            inFlight.merge(permit.endpoint, -1, Int::plus)
            permit.release(EndpointOutcome.Responded(FIRST_BYTE))
        }
    }

    private suspend fun injectFaults() {
        delay(faultMillis)
        if (scenario.burst > 0) {
            scope.launch { generateArrivals(capacityRate * scenario.burst, time.nowMillis + BURST_MILLIS) { 0 } }
        }
        if (scenario.isPartitioned) partition()
        if (scenario.isReplaced) replace(LEAVING)
        if (scenario.isKilled) kill(LEAVING)
    }

    private suspend fun partition() {
        hub.fault = { from, to -> if (isCutOff(from) == isCutOff(to)) PeerFault.NONE else PeerFault.REQUEST_LOST }
        delay(faultMillis * 2)
        hub.fault = { _, _ -> PeerFault.NONE }
    }

    /** The replacement starts first, with a seat of its own; the leaving router then finishes its requests. */
    private suspend fun replace(index: Int) {
        val old = nodes[index]
        nodes[index] = Node(settings.routers, InstanceId("r${settings.routers}"), 1, wasSeatDrained = true)
        old.isServing = false
        delay(settings.maxWait.toMillis() + settings.serviceTime.toMillis() * 2)
        old.limiter.close()
        old.stop()
    }

    /** The new process takes the seat of the killed one, whose loans may still be in use. */
    private suspend fun kill(index: Int) {
        val old = nodes[index]
        old.isServing = false
        old.stop()
        delay(RESTART_MILLIS)
        val next = Node(index, old.self.instance, old.self.number + 1, wasSeatDrained = false)
        nodes.filter { it !== old }.forEach { it.limiter.onIncarnationEnded(old.self) }
        nodes[index] = next
    }

    private fun isCutOff(instance: InstanceId) = instance.value.drop(1).toInt() >= settings.routers / 2

    private inner class Node(
        seat: Int,
        instance: InstanceId,
        number: Long,
        wasSeatDrained: Boolean,
    ) {
        val self = Incarnation(instance, number)
        val scope = CoroutineScope(time + Job(this@LimitsSimulation.scope.coroutineContext[Job]))
        val limiter =
            EndpointLimiter(
                self,
                ZONE,
                CountingPeerNetwork(hub.join(self)),
                time.clock.monotonic,
                Random(random.nextLong()),
            ).also {
                it.update(listOf(RouteQueueConfig(ROUTE)), seat, wasSeatDrained, settings.seats, endpoints)
            }
        var isServing = true

        init {
            scope.launch {
                while (true) {
                    delay(MAINTENANCE_MILLIS)
                    limiter.maintain()
                }
            }
        }

        fun stop() {
            hub.disconnect(self.instance)
            scope.cancel()
        }
    }

    /** Counts the requests to peers, adds the round-trip time and, without lending, reports no connected peers. */
    private inner class CountingPeerNetwork(
        private val network: PeerNetwork,
    ) : PeerNetwork by network {
        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            result.peerMessages++
            delay(settings.roundTrip.toMillis())
            return network.ask(to, topic, message, timeout)
        }

        override fun connectedPeers(): ImmutableSet<InstanceId> =
            if (isLending) network.connectedPeers() else persistentSetOf()
    }

    private companion object {
        const val LEAVING = 3
        const val MAINTENANCE_MILLIS = 250L
        const val BURST_MILLIS = 10_000L
        const val RESTART_MILLIS = 10_000L
        const val MIN_SERVICE = 0.5
        const val MAX_SERVICE = 1.5
        val ZONE = ZoneId("z")
        val ROUTE = RouteId("r")
        val WORKSPACE = WorkspaceId("w")
        val FIRST_BYTE: Duration = Duration.ofMillis(300)
    }
}
