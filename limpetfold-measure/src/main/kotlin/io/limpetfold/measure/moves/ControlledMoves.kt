package io.limpetfold.measure.moves

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.lease.LeaseClient
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerHandler
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.rollout.MoveCommands
import io.limpetfold.rollout.MoveController
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MovePreset
import io.limpetfold.rollout.MoveRequest
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.RolloutListener
import io.limpetfold.rollout.Verdict
import io.limpetfold.rollout.VersionChoice
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.runBlocking
import java.time.Duration

/**
 * The version selectors and move controllers of the routers, run over fakes whose calls take no time.
 *
 * Verdicts are sent as soon as they are reached, as the router program does.
 */
internal class ControlledMoves(
    private val clock: TestClock,
    private val duration: Duration,
    private val preset: MovePreset,
    routers: Int,
) : MoveStrategy {
    private val store = FakeObjectStore()
    private val commands = MoveCommands(store, clock)
    private val networks = LinkedHashMap<InstanceId, DirectPeers>()
    private val nodes = List(routers) { Node(it) }
    private var hasUnsentVerdicts = false
    private val outcomes = arrayOfNulls<Boolean>(MoveSimulation.ROUTES)

    /**
     * Records requests to the old version, whose durations running routers already know, and then starts the moves.
     *
     * [observeOldVersion] returns one observation of the old version.
     */
    fun warmUp(observeOldVersion: () -> VersionObservation) {
        for (node in nodes) {
            for (route in 0 until MoveSimulation.ROUTES) {
                repeat(WARM_UP_REQUESTS) {
                    node.selector.record(node.selector.choose(route(route), RequestId("w$it")), observeOldVersion())
                }
            }
        }
        start()
    }

    private fun start() {
        runBlocking {
            repeat(MoveSimulation.ROUTES) { route ->
                val request =
                    MoveRequest(MoveId("m$route"), route(route), OLD, NEW, "ana", clock.instant() + duration, preset)
                checkNotNull(commands.start(request).get())
            }
        }
    }

    override fun maintain() =
        runBlocking {
            nodes.forEach {
                it.selector.maintain()
                it.lease.maintain()
                it.controller.maintain()
            }
            for (record in commands.list().get().orEmpty()) {
                if (record.phase.isFinal) {
                    outcomes[
                        record.route.value
                            .drop(1)
                            .toInt(),
                    ] =
                        record.phase is MovePhase.Completed
                }
            }
        }

    override fun choose(
        router: Int,
        route: Int,
        request: Int,
    ): MoveStrategy.Choice {
        val choice = nodes[router].selector.choose(route(route), RequestId("q$request"))
        return MoveStrategy.Choice(router, route, choice.side == MoveSide.NEW, choice)
    }

    override fun record(
        choice: MoveStrategy.Choice,
        observation: VersionObservation,
    ) {
        val selector = nodes[choice.router].selector
        selector.record(choice.handle as VersionChoice, observation)
        if (!hasUnsentVerdicts) return
        hasUnsentVerdicts = false
        runBlocking { selector.sendVerdicts() }
    }

    override fun hasCompleted(route: Int): Boolean? = outcomes[route]

    private fun route(index: Int) = RouteId("r$index")

    private inner class Node(
        index: Int,
    ) : RolloutListener {
        private val self = Incarnation(InstanceId("i$index"), 1)
        private val peers = DirectPeers(self).also { networks[self.instance] = it }
        val selector = VersionSelector(store, self, peers, clock, clock.monotonic, listener = this)
        val lease = LeaseClient(store, self, clock.monotonic)
        val controller =
            MoveController(store, lease, selector, peers, ::directory, { _, _ -> Ok(Unit) }, clock, clock.monotonic)

        override fun onWithdrawn(
            verdict: Verdict,
            isLocal: Boolean,
        ) {
            hasUnsentVerdicts = hasUnsentVerdicts || isLocal
        }
    }

    private fun directory() =
        Ok(
            networks.keys
                .map {
                    ListedInstance(it, ListedInstance.ROUTER_SERVICE, OLD, ZoneId("z"), "::1", 1)
                }.toImmutableList(),
        )

    private inner class DirectPeers(
        private val self: Incarnation,
    ) : PeerNetwork {
        private val handlers = HashMap<String, PeerHandler<*, *>>()

        override fun <Q : Any, A : Any> registerHandler(
            topic: PeerTopic<Q, A>,
            handler: PeerHandler<Q, A>,
        ) {
            handlers[topic.name] = handler
        }

        @Suppress("UNCHECKED_CAST")
        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            val handler =
                networks[to]?.handlers?.get(topic.name) as PeerHandler<Q, A>? ?: return Err(PeerError.Unreachable(to))
            return Ok(handler.handle(self, message))
        }

        override fun connectedPeers(): ImmutableSet<InstanceId> = (networks.keys - self.instance).toImmutableSet()
    }

    private companion object {
        const val WARM_UP_REQUESTS = 30
        val OLD = VersionId("v1")
        val NEW = VersionId("v2")
    }
}
