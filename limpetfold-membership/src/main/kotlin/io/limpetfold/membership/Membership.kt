package io.limpetfold.membership

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.ZoneId
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
 * The platform's list shows where instances are; heartbeats between routers show which routers run now. Safe for
 * concurrent use, except that [maintain] must be called by one coroutine at a time.
 *
 * @param describeSelf creates the heartbeat that this router sends; called for each round and for each response.
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
    private var hasUnlistedPeer = false

    /** When each peer last sent a heartbeat; the response to it carried this router's own heartbeat. */
    private val heartbeatReceivedAt = HashMap<InstanceId, Duration>()
    private var seeds: ImmutableList<ListedInstance> = persistentListOf()

    /** The last result of [connectionTargets], which costs a hash for each router of the fleet. */
    private var targets: KnownTargets? = null

    /** The last result of [leaders], which costs a hash for each router of the zone. */
    private var leaders: KnownLeaders? = null

    init {
        peers.registerHandler(HEARTBEAT_TOPIC) { _, heartbeat ->
            applyHeartbeat(heartbeat)
            synchronized(this) { heartbeatReceivedAt[heartbeat.incarnation.instance] = now() }
            describeSelf()
        }
        peers.registerHandler(DIRECTORY_TOPIC) { _, _ -> DirectoryResponse(synchronized(this) { view.instances }) }
    }

    /** The other routers whose last heartbeat is within the timeout, ordered by instance. */
    fun members(): ImmutableList<Member> = synchronized(this) { table.reachable }

    /**
     * The other routers that run as far as is known, connected ones without a heartbeat included: those of other zones
     * than [zone] first, and those that are draining last.
     */
    fun runningRouters(zone: ZoneId): List<InstanceId> {
        val known = members().associateBy { it.instance }
        return RendezvousHash
            .rank(self.value, known.keys + peers.connectedPeers()) { it.value }
            .sortedWith(compareBy({ known[it]?.isDraining == true }, { known[it]?.zone == zone }))
    }

    /** All listed routers except this one, reachable or not; unreachable ones may still run. */
    fun otherListedRouters(): ImmutableList<ListedInstance> =
        synchronized(this) { routers().filter { it.instance != self }.toImmutableList() }

    /** Whether a list of the platform is known, rather than only the addresses in the settings. */
    val hasDirectory: Boolean get() = synchronized(this) { !view.isEmpty }

    /** The number of listed routers, reachable or not, including this one. */
    val routerCount: Int get() = synchronized(this) { routers().count { it.instance != self } + 1 }

    /** Whether every listed router connects to every other. */
    val isFullMesh: Boolean get() = routerCount <= policy.fullMeshLimit + 1

    /** The listed endpoints of [service], including those marked as leaving. */
    fun endpoints(service: String): ImmutableList<ListedInstance> = synchronized(this) { view.instancesOf(service) }

    /** The routers that this router should keep connections to. */
    fun connectionTargets(): ImmutableList<ListedInstance> =
        synchronized(this) {
            val routers = routers()
            val known = targets
            if (known != null && known.routers === routers) return known.targets
            val selected = PeerSelection.select(self, routers, policy)
            val targets = routers.filter { it.instance in selected }.toImmutableList()
            this.targets = KnownTargets(routers, targets)
            targets
        }

    /**
     * The leaders of this router's group in its [zone], perhaps including itself, in an order on which the group
     * agrees; reachable or not. They pass on changes of the store and lend tokens.
     */
    fun leaders(zone: ZoneId): ImmutableList<InstanceId> =
        synchronized(this) {
            val routers = routers()
            val known = leaders
            if (known != null && known.routers === routers && known.zone == zone) return known.leaders
            KnownLeaders(routers, zone, PeerSelection.groupLeaders(self, zone, routers)).also { leaders = it }.leaders
        }

    /** Whether [router] is a leader of any zone. */
    fun isLeader(router: InstanceId): Boolean = synchronized(this) { router in PeerSelection.allLeaders(routers()) }

    /** The number of groups of routers in the fleet, each of which has leaders of its own. */
    val groupCount: Int
        get() =
            synchronized(this) {
                routers().groupBy { it.zone }.values.sumOf { PeerSelection.groupCount(it.size) }
            }

    /**
     * Whether [incarnation] is known to have ended: either a newer incarnation of its instance sent a heartbeat, or the
     * instance has been missing from the platform's list for [MembershipPolicy.endedAfterAbsence], counted from the
     * first read without it.
     */
    fun hasEnded(incarnation: Incarnation): Boolean =
        synchronized(this) {
            val newest = table.newestIncarnation(incarnation.instance)
            val absence = view.absenceDuration(incarnation.instance, now())
            (newest != null && newest.number > incarnation.number) ||
                (absence != null && absence >= policy.endedAfterAbsence.toKotlinDuration())
        }

    /**
     * Sets the router addresses from the settings. They are used while no list is available, so that a router can join
     * during an outage of the platform.
     */
    fun setSeedRouters(addresses: List<ListedInstance>) {
        synchronized(this) { seeds = addresses.toImmutableList() }
    }

    /** Makes the next [maintain] read the platform's list, even if the interval has not elapsed. */
    fun requestDirectoryRefresh() {
        directoryReadAt = null
    }

    /** Reads the platform's list and exchanges heartbeats when they are due, and detects unreachable members. */
    suspend fun maintain() {
        if (isDue(directoryReadAt, directoryInterval())) readDirectory()
        if (isDue(heartbeatSentAt, scaled(policy.heartbeatInterval))) exchangeHeartbeats()
        val step =
            synchronized(this) {
                val step = table.expire(now(), scaled(policy.heartbeatTimeout))
                val listed = view.instances.mapTo(HashSet()) { it.instance }
                table = if (view.isEmpty) step.table else step.table.evictUnreachable { it in listed }
                if (!view.isEmpty) heartbeatReceivedAt.keys.retainAll(listed)
                step
            }
        notifyListener(step.changes)
    }

    /** Lengthens [time] in a large fleet, so that the traffic of a router does not grow with its connection count. */
    private fun scaled(time: java.time.Duration): Duration =
        time.toKotlinDuration() * if (isFullMesh) 1 else LARGE_FLEET_FACTOR

    /** A large fleet reads the list less often, unless a router that is not listed sent a heartbeat. */
    private fun directoryInterval(): Duration {
        val isStale = synchronized(this) { hasUnlistedPeer || view.isEmpty }
        return policy.directoryInterval.toKotlinDuration() *
            if (isFullMesh || isStale) 1 else LARGE_FLEET_DIRECTORY_FACTOR
    }

    private suspend fun readDirectory() {
        directoryReadAt = now()
        synchronized(this) { hasUnlistedPeer = false }
        directory.list().fold(
            success = { listed ->
                synchronized(this) {
                    view = view.withListing(listed, table.reachable.mapTo(HashSet()) { it.instance }, now())
                }
            },
            failure = { error ->
                LOGGER.warn("membership: reading the instance list failed cause=\"{}\"", error.message)
                copyDirectoryFromPeer()
            },
        )
    }

    /** Copies the list from the first peer that has one, for a router that starts during an outage of the platform. */
    private suspend fun copyDirectoryFromPeer() {
        if (!synchronized(this) { view.isEmpty }) return
        for (peer in peers.connectedPeers()) {
            peers.ask(peer, DIRECTORY_TOPIC, DirectoryRequest, policy.heartbeatInterval).onSuccess { response ->
                synchronized(this) { view = view.withPeerCopy(response.instances) }
            }
            if (!synchronized(this) { view.isEmpty }) return
        }
    }

    private suspend fun exchangeHeartbeats() {
        heartbeatSentAt = now()
        val heartbeat = describeSelf()
        val reachable: ImmutableSet<InstanceId> = peers.connectedPeers()
        val targets =
            if (isFullMesh) {
                reachable
            } else {
                reachable -
                    heartbeatSendersWithin(scaled(policy.heartbeatInterval))
            }
        coroutineScope {
            targets
                .map { peer ->
                    async {
                        peers
                            .ask(
                                peer,
                                HEARTBEAT_TOPIC,
                                heartbeat,
                                policy.heartbeatInterval,
                            ).onSuccess { applyHeartbeat(it) }
                    }
                }.awaitAll()
        }
    }

    /** The peers that sent a heartbeat within [interval]; the response already gave them this router's own. */
    private fun heartbeatSendersWithin(interval: Duration): Set<InstanceId> =
        synchronized(this) { heartbeatReceivedAt.filterValues { !isDue(it, interval) }.keys.toSet() }

    private fun applyHeartbeat(heartbeat: Heartbeat) {
        if (heartbeat.incarnation.instance == self) return
        val step =
            synchronized(this) {
                if (routers().none { it.instance == heartbeat.incarnation.instance }) hasUnlistedPeer = true
                table.applyHeartbeat(heartbeat, now()).also { table = it.table }
            }
        notifyListener(step.changes)
    }

    private fun notifyListener(changes: List<MemberChange>) {
        for (change in changes) {
            when (change) {
                is MemberChange.Joined -> {
                    LOGGER.info("membership: peer joined incarnation={}", change.member.incarnation)
                    listener.memberJoined(change.member)
                }
                is MemberChange.Unreachable -> {
                    LOGGER.warn("membership: peer silent incarnation={}", change.member.incarnation)
                    listener.memberUnreachable(change.member)
                }
                is MemberChange.Ended -> {
                    LOGGER.info("membership: incarnation ended incarnation={}", change.incarnation)
                    listener.onIncarnationEnded(change.incarnation)
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

    private class KnownTargets(
        val routers: List<ListedInstance>,
        val targets: ImmutableList<ListedInstance>,
    )

    private class KnownLeaders(
        val routers: List<ListedInstance>,
        val zone: ZoneId,
        val leaders: ImmutableList<InstanceId>,
    )

    private companion object {
        /** Factor for the heartbeat interval and the heartbeat timeout of a fleet that is not a full mesh. */
        const val LARGE_FLEET_FACTOR = 2

        /**
         * Factor for the interval of list reads in a fleet that is not a full mesh. A heartbeat of a router that is not
         * listed yet makes the next read come early, so regular reads can be rarer.
         */
        const val LARGE_FLEET_DIRECTORY_FACTOR = 8
        val LOGGER = LoggerFactory.getLogger(Membership::class.java)
    }
}
