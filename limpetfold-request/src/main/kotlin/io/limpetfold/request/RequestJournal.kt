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
 * Keeps the opening and the end of each request, and copies them to peers in other availability zones; safe for
 * concurrent use.
 *
 * The journal is never the authority: copies may be missing, and a request that it does not know may have run.
 *
 * @param members all known routers; this one may be among them. The peers of a request follow from its identity and from
 * this list, so that a retry through another router asks the same peers. While lists differ, lookups may miss.
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
            JournalStored(batch.opened.size + batch.closed.size)
        }
        network.registerHandler(JournalTopics.FIND) { _, query -> JournalFound(buffer.find(query.workspace, query.request)) }
        network.registerHandler(JournalTopics.SPENT) { _, query -> SpentFound(buffer.spent(query.holder, query.workspace)) }
    }

    /** Entries held here, for metrics. */
    val entryCount: Int get() = buffer.size

    /** Copies the opening of a request and returns how many peers acknowledged it. */
    suspend fun recordOpened(record: OpenedRecord): Int =
        copy(record.workspace, record.request, JournalBatch(opened = listOf(record)))

    /** Copies the end of a request and returns how many peers acknowledged it within the policy's bound. */
    suspend fun recordClosed(record: ClosedRecord): Int =
        copy(record.workspace, record.request, JournalBatch(closed = listOf(record)))

    /**
     * Returns what is known of a request, here or at the peers that hold its copies; null when nothing is found.
     *
     * The peers are ranked without regard to this router's zone, because the first router may be in another one.
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

    /** Returns the largest cumulative spend of [holder] known to this router, or null when none is. */
    fun replicatedSpend(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? = buffer.spent(holder, workspace)

    /**
     * Returns the largest cumulative spend of [holder] among the copies here and at all reachable peers, or null.
     *
     * The last record of a holder may be at any pair of peers, so all are asked. An unreachable peer may hold a larger one.
     */
    suspend fun replicatedSpendFromReachable(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? =
        coroutineScope {
            val atPeers = network.connectedPeers().map { async { askSpent(it, SpentQuery(holder, workspace)) } }.awaitAll()
            (atPeers + replicatedSpend(holder, workspace)).filterNotNull().maxOrNull()
        }

    /**
     * Returns the largest cumulative spend of [holder] among the copies here and at [routers], or null without any copy.
     * Fails with the first router that gave no answer, because it may hold a larger one.
     */
    suspend fun replicatedSpendFromAll(
        routers: Collection<InstanceId>,
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Result<Long?, PeerError> =
        coroutineScope {
            val query = SpentQuery(holder, workspace)
            val replies = routers.map { async { network.ask(it, JournalTopics.SPENT, query, policy.acknowledgeWithin) } }.awaitAll()
            val failure = replies.firstNotNullOfOrNull { it.getError() }
            val found = replies.mapNotNull { it.get()?.tokens } + listOfNotNull(replicatedSpend(holder, workspace))
            if (failure == null) Ok(found.maxOrNull()) else Err(failure)
        }

    /** Drops entries that are too old. */
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

    /** The peers that a router in [origin] copies to: the best ranked in other zones, each in a zone of its own if possible. */
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

    /** The peers that any router may have copied to: the sender's zone is not known to the one that looks up. */
    private fun possibleHolders(
        workspace: WorkspaceId,
        request: RequestId,
    ): Set<InstanceId> = members().map { it.zone }.distinct().flatMap { copyPeers(it, workspace, request) }.toSet()

    private suspend fun askEntry(
        peer: InstanceId,
        query: JournalQuery,
    ): JournalEntry? =
        network.ask(peer, JournalTopics.FIND, query, policy.acknowledgeWithin).fold({ it.entry }, { null })

    private suspend fun askSpent(
        peer: InstanceId,
        query: SpentQuery,
    ): Long? = network.ask(peer, JournalTopics.SPENT, query, policy.acknowledgeWithin).fold({ it.tokens }, { null })
}
