package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.ServiceVersion
import io.limpetfold.rollout.timed.TimedMoveDecision
import io.limpetfold.rollout.timed.TimedMoveReport
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.rollout.timed.VersionTrial
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

/**
 * Applies operators' orders to move services between versions, exchanges reports with the other routers, and writes the
 * outcomes to the store.
 *
 * @param presentVersions the versions that have endpoints, draining ones included.
 */
class TimedMoveCoordinator(
    private val versionSelector: TimedVersionSelector,
    private val codec: MoveOrderCodec,
    private val store: ObjectStore,
    private val peers: PeerNetwork,
    private val dispatcher: CoroutineDispatcher,
    private val log: DecisionLog,
    private val presentVersions: () -> Set<ServiceVersion>,
) : FeedListener {
    private val storeState = DependencyState("store.moves", log)

    /** Key of the order of each service, because the object of an order is not necessarily named after the service. */
    private val keysByService = HashMap<String, ObjectKey>()

    /** The members that know [toldTrials]. */
    private var toldMembers = emptySet<Incarnation>()
    private var toldTrials = emptyList<VersionTrial>()

    /** Registers the handler of the topic; must be called before the peer network starts. */
    fun register() =
        peers.registerHandler(MOVES_TOPIC) { _, message ->
            withContext(dispatcher) {
                apply(message)
                reports(versionSelector.reportsFor(message.reports))
            }
        }

    override fun onListed(page: ObjectPage) {
        val present = page.objects.mapTo(HashSet()) { it.key }
        val missing = keysByService.filterValues { it !in present }.keys
        missing.filter { versionSelector.onOrderMissing(it, page.position) }.forEach(::onRemoved)
        onChanged(page)
    }

    override fun onChanged(page: ObjectPage) {
        storeState.markAvailable()
        for (stored in page.objects) {
            codec.decode(stored).fold(
                success = { onOrder(it, stored.key) },
                failure = { log.warn("move.skipped", "entry" to stored.key, "reason" to it) },
            )
        }
        for (service in keysByService.filterValues { it in page.removed }.keys) {
            versionSelector.removeOrder(service)
            onRemoved(service)
        }
    }

    override fun onFailed(error: StoreError) = storeState.markUnavailable(error.message)

    /**
     * Performs one round while a move runs: exchanges reports with [members], decides, and writes the outcomes to the
     * store. While a withdrawn version has endpoints, members that do not know of it are told, such as those that have
     * just started.
     */
    suspend fun maintain(members: List<Member>) {
        versionSelector.updatePresence(presentVersions())
        when {
            versionSelector.hasRunningMoves -> {
                exchangeReports(members)
                versionSelector
                    .decide(
                        members.mapTo(HashSet()) { it.incarnation },
                    ).forEach { reportStatus(it, members) }
            }
            versionSelector.isWithdrawnVersionPresent -> tellTrials(members)
        }
    }

    private suspend fun tellTrials(members: List<Member>) {
        val trials = versionSelector.trials()
        if (trials != toldTrials) toldMembers = emptySet()
        toldTrials = trials
        val (told, untold) = members.partition { it.incarnation in toldMembers }
        toldMembers = told.mapTo(HashSet()) { it.incarnation } + exchangeReports(untold)
    }

    /** Returns the members that responded. */
    private suspend fun exchangeReports(members: List<Member>): List<Incarnation> =
        send(reports(versionSelector.reports()), members)

    private suspend fun send(
        message: MoveReports,
        members: List<Member>,
    ): List<Incarnation> =
        coroutineScope {
            members
                .map { member -> async { member.incarnation.takeIf { exchange(member.instance, message) } } }
                .awaitAll()
                .filterNotNull()
        }

    /** Tells an outcome that was just stored, so that it stays known if this router and the store lose it. */
    private suspend fun tellOutcome(
        order: MoveOrder,
        members: List<Member>,
    ) = versionSelector.outcomeReport(order)?.let { send(reports(listOf(it)), members) }

    private suspend fun exchange(
        peer: InstanceId,
        message: MoveReports,
    ): Boolean {
        val response = peers.ask(peer, MOVES_TOPIC, message, PEER_TIMEOUT).get() ?: return false
        apply(response)
        return true
    }

    private fun reports(own: List<TimedMoveReport>) = MoveReports(versionSelector.self, own, versionSelector.trials())

    private fun apply(message: MoveReports) {
        versionSelector.applyReports(message.router, message.reports)
        versionSelector.applyTrials(message.trials)
    }

    private suspend fun reportStatus(
        decision: TimedMoveDecision,
        members: List<Member>,
    ) {
        val order = decision.order
        val key = keysByService[order.service] ?: return
        store.putStatus(key, codec.encodeStatus(order, decision.status), order.objectVersion).fold(
            success = { position ->
                versionSelector.applyOrder(order.copy(status = decision.status, objectVersion = position))
                if (decision.status.isFinal) tellOutcome(order, members)
                log.info(
                    "move.reported",
                    "service" to order.service,
                    "target" to order.target,
                    "outcome" to decision.status,
                    "withdrawn" to decision.withdrawalReason,
                )
            },
            // The watch delivers the state of the store, and the next round decides by it.
            failure = {
                log.warn(
                    "move.not_reported",
                    "service" to order.service,
                    "outcome" to decision.status,
                    "reason" to it.message,
                )
            },
        )
    }

    private fun onOrder(
        order: MoveOrder,
        key: ObjectKey,
    ) {
        keysByService[order.service] = key
        versionSelector.applyOrder(order)
        log.info(
            "move.ordered",
            "service" to order.service,
            "target" to order.target,
            "durationMillis" to order.duration.toMillis(),
            "outcome" to order.status,
            "position" to order.objectVersion,
        )
    }

    private fun onRemoved(service: String) {
        keysByService.remove(service)
        log.info("move.removed", "service" to service)
    }

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
