package io.limpetfold.membership

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.PeerNetwork
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * The routers and endpoints of the fleet as this router knows them.
 *
 * The platform's list says where instances are; heartbeats between routers say which of them run now. Safe for concurrent use; one
 * coroutine at a time calls [maintain].
 *
 * @param describeSelf the heartbeat that this router sends, made anew for each round.
 */
class Membership(
    private val self: InstanceId,
    private val directory: InstanceDirectory,
    private val peers: PeerNetwork,
    monotonic: TimeSource,
    private val policy: MembershipPolicy = MembershipPolicy(),
    private val listener: MembershipListener = MembershipListener.NONE,
    private val describeSelf: () -> Heartbeat,
) {
    private val start = monotonic.markNow()
    private var table = MemberTable()
    private var view = DirectoryView()
    private var directoryReadAt: Duration? = null
    private var heartbeatSentAt: Duration? = null
    private var hasHeardUnlisted = false

    /** When each peer last sent its heartbeat, to which this router's answer told its own. */
    private val askedAt = HashMap<InstanceId, Duration>()
    private var seeds: ImmutableList<ListedInstance> = persistentListOf()

    init {
        peers.registerHandler(HEARTBEAT_TOPIC) { _, heartbeat ->
            take(heartbeat)
            synchronized(this) { askedAt[heartbeat.incarnation.instance] = now() }
            describeSelf()
        }
        peers.registerHandler(DIRECTORY_TOPIC) { _, _ -> DirectoryReply(synchronized(this) { view.instances }) }
    }

    /** The other routers that were heard within the silence timeout, ordered by instance. */
    fun members(): ImmutableList<Member> = synchronized(this) { table.reachable }

    /** All listed routers but this one, heard or not; the silent ones may be cut off. */
    fun listedRouters(): ImmutableList<ListedInstance> =
        synchronized(this) { routers().filter { it.instance != self }.toImmutableList() }

    /** Routers that are listed, this one included, whether they are heard or not. */
    val routerCount: Int get() = synchronized(this) { routers().count { it.instance != self } + 1 }

    /** Whether every listed router connects to every other. */
    val isFullMesh: Boolean get() = routerCount <= policy.fullMeshLimit + 1

    /** The listed endpoints of [service], also those marked as leaving. */
    fun endpoints(service: String): ImmutableList<ListedInstance> = synchronized(this) { view.service(service) }

    /** The routers to hold connections to. */
    fun connectionTargets(): ImmutableList<ListedInstance> =
        synchronized(this) {
            val routers = routers()
            val selected = PeerSelection.select(self, routers.map { it.instance }, policy)
            routers.filter { it.instance in selected }.toImmutableList()
        }

    /**
     * Whether [incarnation] is known to have ended: a newer one of its instance was heard, or the platform's list has not shown the
     * instance for [MembershipPolicy.endedAfterAbsence] while this router read the list.
     */
    fun hasEnded(incarnation: Incarnation): Boolean =
        synchronized(this) {
            val newest = table.newest(incarnation.instance)
            val absence = view.absence(incarnation.instance, now())
            (newest != null && newest.number > incarnation.number) ||
                (absence != null && absence >= policy.endedAfterAbsence.toKotlinDuration())
        }

    /** Sets router addresses from the settings, used until a list was read; they let a router join during an outage of the platform. */
    fun seed(addresses: List<ListedInstance>) {
        synchronized(this) { seeds = addresses.toImmutableList() }
    }

    /** Lets the next [maintain] read the list, whenever it was last read. */
    fun requestDirectoryRefresh() {
        directoryReadAt = null
    }

    /** Reads the list and exchanges heartbeats when they are due. */
    suspend fun maintain() {
        if (isDue(directoryReadAt, directoryInterval())) readDirectory()
        if (isDue(heartbeatSentAt, spaced(policy.heartbeatInterval))) exchangeHeartbeats()
        val step =
            synchronized(this) {
                val step = table.expire(now(), spaced(policy.heartbeatTimeout))
                val listed = view.instances.mapTo(HashSet()) { it.instance }
                table = if (view.isEmpty) step.table else step.table.retain { it in listed }
                if (!view.isEmpty) askedAt.keys.retainAll(listed)
                step
            }
        notify(step.changes)
    }

    /** Times that a large fleet makes longer, so that what its routers send does not grow with their connections. */
    private fun spaced(time: java.time.Duration): Duration = time.toKotlinDuration() * if (isFullMesh) 1 else LARGE_FLEET_SPACING

    /** A large fleet reads the list less often, unless a router is heard that it does not show. */
    private fun directoryInterval(): Duration {
        val isStale = synchronized(this) { hasHeardUnlisted || view.isEmpty }
        return policy.directoryInterval.toKotlinDuration() * if (isFullMesh || isStale) 1 else LARGE_FLEET_LIST_SPACING
    }

    private suspend fun readDirectory() {
        directoryReadAt = now()
        synchronized(this) { hasHeardUnlisted = false }
        directory.list().fold(
            success = { listed ->
                synchronized(this) {
                    view = view.read(listed, table.reachable.mapTo(HashSet()) { it.instance }, now())
                }
            },
            failure = { error ->
                LOGGER.warn("membership: reading the instance list failed cause=\"{}\"", error.message)
                copyDirectory()
            },
        )
    }

    /** A router that starts while the platform is down takes the list from the first peer that has one. */
    private suspend fun copyDirectory() {
        if (!synchronized(this) { view.isEmpty }) return
        for (peer in peers.connectedPeers()) {
            peers.ask(peer, DIRECTORY_TOPIC, DirectoryRequest, policy.heartbeatInterval).onSuccess { reply ->
                synchronized(this) { view = view.copied(reply.instances) }
            }
            if (!synchronized(this) { view.isEmpty }) return
        }
    }

    private suspend fun exchangeHeartbeats() {
        heartbeatSentAt = now()
        val heartbeat = describeSelf()
        val reachable: ImmutableSet<InstanceId> = peers.connectedPeers()
        val targets = if (isFullMesh) reachable else reachable - askersWithin(spaced(policy.heartbeatInterval))
        coroutineScope {
            targets
                .map { peer ->
                    async { peers.ask(peer, HEARTBEAT_TOPIC, heartbeat, policy.heartbeatInterval).onSuccess { take(it) } }
                }.awaitAll()
        }
    }

    /** The peers that sent their heartbeat within [interval]; they know this router's own from the answer. */
    private fun askersWithin(interval: Duration): Set<InstanceId> =
        synchronized(this) { askedAt.filterValues { !isDue(it, interval) }.keys.toSet() }

    private fun take(heartbeat: Heartbeat) {
        if (heartbeat.incarnation.instance == self) return
        val step =
            synchronized(this) {
                if (routers().none { it.instance == heartbeat.incarnation.instance }) hasHeardUnlisted = true
                table.heard(heartbeat, now()).also { table = it.table }
            }
        notify(step.changes)
    }

    private fun notify(changes: List<MemberChange>) {
        for (change in changes) {
            when (change) {
                is MemberChange.Joined -> {
                    LOGGER.info("membership: peer joined incarnation={}", change.member.incarnation)
                    listener.memberJoined(change.member)
                }
                is MemberChange.Silent -> {
                    LOGGER.warn("membership: peer silent incarnation={}", change.member.incarnation)
                    listener.memberUnreachable(change.member)
                }
                is MemberChange.Ended -> {
                    LOGGER.info("membership: incarnation ended incarnation={}", change.incarnation)
                    listener.incarnationEnded(change.incarnation)
                }
            }
        }
    }

    private fun routers(): List<ListedInstance> = view.routers.ifEmpty { seeds }

    private fun isDue(
        last: Duration?,
        interval: Duration,
    ): Boolean = last == null || now() - last >= interval

    private fun now(): Duration = start.elapsedNow()

    private companion object {
        /** Doubles the heartbeat interval and the silence timeout of a fleet that is no full mesh. */
        const val LARGE_FLEET_SPACING = 2

        /** Heartbeats tell of routers that the list does not show yet, so a large fleet reads it this many times less often. */
        const val LARGE_FLEET_LIST_SPACING = 4
        val LOGGER = LoggerFactory.getLogger(Membership::class.java)
    }
}
