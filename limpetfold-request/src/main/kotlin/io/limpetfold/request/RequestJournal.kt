package io.limpetfold.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.TimeSource

/**
 * Records the start and the end of each request and copies the records to peers in other availability zones; safe for
 * concurrent use.
 *
 * The journal is best effort: copies may be missing, and a request that is not in the journal may have run.
 *
 * @param members all known routers; this one may be among them. The peers that hold the copies of a request are
 * computed from its identity and this list, so that a retry through another router asks the same peers. While the lists
 * of two routers differ, a lookup may miss copies.
 */
class RequestJournal(
    private val self: Incarnation,
    private val zone: ZoneId,
    private val network: PeerNetwork,
    private val members: () -> Collection<JournalPeer>,
    timeSource: TimeSource = TimeSource.Monotonic,
    private val policy: JournalPolicy = JournalPolicy(),
    private val listener: JournalListener = JournalListener.NONE,
) {
    private val buffer = JournalBuffer(timeSource, policy, listener)
    private val batcher = PeerBatcher(network, policy)

    init {
        network.registerHandler(JournalTopics.COPY) { _, batch ->
            buffer.store(batch)
            JournalAcknowledgement(batch.opened.size + batch.closed.size)
        }
        network.registerHandler(
            JournalTopics.FIND,
        ) { _, query -> JournalQueryResponse(buffer.find(query.workspace, query.request)) }
        network.registerHandler(
            JournalTopics.SPENT,
        ) { _, query -> SpentQueryResponse(buffer.spentTotal(query.holder, query.workspace)) }
    }

    /** The number of entries that this router keeps, for metrics. */
    val entryCount: Int get() = buffer.size

    /** Records the start of a request; returns how many peers acknowledged their copy within the timeout. */
    suspend fun recordOpened(record: OpenedRecord): Int =
        copy(record.workspace, record.request, JournalBatch(opened = listOf(record)))

    /** Records the end of a request; returns how many peers acknowledged their copy within the timeout. */
    suspend fun recordClosed(record: ClosedRecord): Int =
        copy(record.workspace, record.request, JournalBatch(closed = listOf(record)))

    /**
     * Returns the merged records of a request from this router and the peers that may hold copies; null when none is
     * found.
     *
     * The candidates of all zones are asked, because the router that recorded the request may be in another zone.
     */
    suspend fun find(
        workspace: WorkspaceId,
        request: RequestId,
    ): JournalEntry? =
        coroutineScope {
            val found =
                possibleHolders(workspace, request)
                    .filter { it != self.instance }
                    .map { async { askEntry(it, JournalQuery(workspace, request)) } }
                    .awaitAll()
            (found + buffer.find(workspace, request)).filterNotNull().reduceOrNull(JournalEntry::merge)
        }

    /** Returns the largest cumulative spend of [holder] that this router knows, or null when it knows none. */
    fun replicatedSpend(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? = buffer.spentTotal(holder, workspace)

    /**
     * Returns the largest cumulative spend of [holder] that this router or a reachable peer knows, or null when none
     * does.
     *
     * The latest record of a holder may be at any of the peers, so all connected ones are asked. An unreachable peer
     * may know a larger total.
     */
    suspend fun replicatedSpendFromReachable(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? =
        coroutineScope {
            val atPeers =
                network
                    .connectedPeers()
                    .map {
                        async {
                            askSpent(
                                it,
                                SpentQuery(holder, workspace),
                            )
                        }
                    }.awaitAll()
            (atPeers + replicatedSpend(holder, workspace)).filterNotNull().maxOrNull()
        }

    /**
     * Returns the largest cumulative spend of [holder] that this router or one of [routers] knows, or null when none
     * does.
     *
     * If any of [routers] does not respond, returns the error of the first of them, because it may know a larger total.
     */
    suspend fun replicatedSpendFromAll(
        routers: Collection<InstanceId>,
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Result<Long?, PeerError> =
        coroutineScope {
            val query = SpentQuery(holder, workspace)
            val responses =
                routers
                    .map {
                        async { network.ask(it, JournalTopics.SPENT, query, policy.acknowledgeTimeout) }
                    }.awaitAll()
            val failure = responses.firstNotNullOfOrNull { it.getError() }
            val found = responses.mapNotNull { it.get()?.tokens } + listOfNotNull(replicatedSpend(holder, workspace))
            if (failure == null) Ok(found.maxOrNull()) else Err(failure)
        }

    /** Evicts expired entries; call it periodically. */
    fun maintain() = buffer.expire()

    private suspend fun copy(
        workspace: WorkspaceId,
        request: RequestId,
        batch: JournalBatch,
    ): Int {
        buffer.store(batch)
        val count =
            coroutineScope {
                copyPeers(zone, workspace, request).map { async { batcher.send(it, batch) } }.awaitAll().count { it }
            }
        if (count < policy.copies) listener.onCopiesMissing(workspace, request, count)
        return count
    }

    /** The peers that a router in zone [origin] copies to: the best ranked in other zones, spread over zones. */
    private fun copyPeers(
        origin: ZoneId,
        workspace: WorkspaceId,
        request: RequestId,
    ): List<InstanceId> {
        val ranked =
            RendezvousHash
                .rank("${workspace.value.length}:$workspace/$request", members()) { it.instance.value }
                .filter { it.zone != origin }
        val first = ranked.distinctBy { it.zone }.take(policy.copies)
        return (first + (ranked - first.toSet())).take(policy.copies).map { it.instance }
    }

    /** The peers that may hold copies, for every possible zone of the recording router, which is not known here. */
    private fun possibleHolders(
        workspace: WorkspaceId,
        request: RequestId,
    ): Set<InstanceId> =
        members()
            .map { it.zone }
            .distinct()
            .flatMap { copyPeers(it, workspace, request) }
            .toSet()

    private suspend fun askEntry(
        peer: InstanceId,
        query: JournalQuery,
    ): JournalEntry? =
        network.ask(peer, JournalTopics.FIND, query, policy.acknowledgeTimeout).fold({ it.entry }, { null })

    private suspend fun askSpent(
        peer: InstanceId,
        query: SpentQuery,
    ): Long? = network.ask(peer, JournalTopics.SPENT, query, policy.acknowledgeTimeout).fold({ it.tokens }, { null })
}
