package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.TimedMoveDecision
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.time.Duration

/** Follows the operators' orders to move services between versions, exchanges what routers saw, and reports the outcomes to the store. */
class TimedMoveCoordinator(
    private val moves: TimedVersionSelector,
    private val codec: MoveOrderCodec,
    private val store: ObjectStore,
    private val peers: PeerNetwork,
    private val dispatcher: CoroutineDispatcher,
    private val log: DecisionLog,
) : FeedListener {
    private val link = DependencyState("store.moves", log)

    /** Objects by service, because the name of an order's object need not be the service's. */
    private val keys = HashMap<String, ObjectKey>()

    /** Registers the topic; call it before the network starts. */
    fun register() =
        peers.registerHandler(MOVES_TOPIC) { _, message ->
            withContext(dispatcher) {
                moves.applyReports(message.router, message.reports)
                MoveReports(moves.self, moves.reports())
            }
        }

    override fun onListed(page: ObjectPage) {
        val present = page.objects.mapTo(HashSet()) { it.key }
        forgetWhere { it !in present }
        onChanged(page)
    }

    override fun onChanged(page: ObjectPage) {
        link.up()
        for (stored in page.objects) {
            codec.decode(stored).fold(
                success = { follow(it, stored.key) },
                failure = { log.warn("move.skipped", "entry" to stored.key, "reason" to it) },
            )
        }
        forgetWhere { it in page.removed }
    }

    override fun onFailed(error: StoreError) = link.down(error.message)

    /** Performs one round while a move runs: tells [members] what was seen here, learns what they saw, and reports outcomes. */
    suspend fun maintain(members: List<Member>) {
        if (!moves.hasRunningMoves) return
        exchange(members.map { it.instance })
        moves.decide(members.mapTo(HashSet()) { it.incarnation }).forEach { report(it) }
    }

    private suspend fun exchange(instances: List<InstanceId>) =
        coroutineScope {
            val own = MoveReports(moves.self, moves.reports())
            instances.map { peer -> async { peers.ask(peer, MOVES_TOPIC, own, TIMEOUT).get()?.let { moves.applyReports(it.router, it.reports) } } }.awaitAll()
        }

    private suspend fun report(decision: TimedMoveDecision) {
        val order = decision.order
        val key = keys[order.service] ?: return
        store.putStatus(key, codec.encodeStatus(order, decision.status), order.objectVersion).fold(
            success = { position ->
                moves.applyOrder(order.copy(status = decision.status, objectVersion = position))
                log.info("move.reported", "service" to order.service, "target" to order.target, "outcome" to decision.status, "withdrawn" to decision.withdrawalReason)
            },
            // The watch tells what the store holds; the next round decides on that.
            failure = { log.warn("move.not_reported", "service" to order.service, "outcome" to decision.status, "reason" to it.message) },
        )
    }

    private fun follow(
        order: MoveOrder,
        key: ObjectKey,
    ) {
        keys[order.service] = key
        moves.applyOrder(order)
        log.info(
            "move.ordered",
            "service" to order.service,
            "target" to order.target,
            "durationMillis" to order.duration.toMillis(),
            "outcome" to order.status,
            "position" to order.objectVersion,
        )
    }

    private fun forgetWhere(isRemoved: (ObjectKey) -> Boolean) {
        for (service in keys.filterValues(isRemoved).keys) {
            keys.remove(service)
            moves.removeOrder(service)
            log.info("move.removed", "service" to service)
        }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
