package io.limpetfold.membership

import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.ListedInstance
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

/**
 * Chooses the peers that a router opens connections to.
 *
 * Up to [MembershipPolicy.fullMeshLimit] these are all other routers. Above it, the routers of a zone form one or more
 * groups. Each router connects to the leaders of its group, which pass on changes and lend tokens, and the leaders of
 * all groups connect to each other. The leaders are the routers with the widest links, because a leader sends each
 * change to its whole group; rendezvous hashing decides among equal ones. The two successors on a ring ordered by
 * instance keep the fleet connected, and rendezvous hashing selects the remaining peers, which keeps the number of hops
 * between two routers small.
 */
internal object PeerSelection {
    private const val RING_NEIGHBOURS = 2

    /** More than one, so that the others take over the work of a leader that is gone, and share it before. */
    private const val LEADERS_PER_GROUP = 4

    private const val ROUTERS_PER_GROUP = 72

    fun select(
        self: InstanceId,
        routers: Collection<ListedInstance>,
        policy: MembershipPolicy,
    ): ImmutableSet<InstanceId> {
        val others =
            routers
                .map { it.instance }
                .filter { it != self }
                .distinct()
                .sorted()
        if (others.size <= policy.fullMeshLimit) return others.toImmutableSet()
        val successors = (others.filter { it > self } + others.filter { it < self }).take(RING_NEIGHBOURS)
        val ranked = RendezvousHash.rank(self.value, others) { it.value }
        val zone = routers.firstOrNull { it.instance == self }?.zone
        val ownLeaders = zone?.let { groupLeaders(self, it, routers) }.orEmpty() - self
        val selected = (successors + ownLeaders + ranked).distinct().take(policy.maxConnections)
        val leaders = allLeaders(routers)
        val otherLeaders = if (self in leaders) leaders else emptySet()
        return (selected + otherLeaders - self).toImmutableSet()
    }

    /** The leaders of the group of [self], a router of [zone], in an order on which the group agrees. */
    fun groupLeaders(
        self: InstanceId,
        zone: ZoneId,
        routers: Collection<ListedInstance>,
    ): ImmutableList<InstanceId> {
        val groups = zoneLeaders(zone, routers).chunked(LEADERS_PER_GROUP)
        if (groups.isEmpty()) return persistentListOf()
        val own = groups.firstOrNull { self in it }
        val index = RendezvousHash.score(zone.value, self.value).mod(groups.size)
        return (own ?: groups[index]).toImmutableList()
    }

    /**
     * The number of groups of a zone with [routerCount] routers. Each of them has leaders of its own, so that the
     * connections of a leader do not grow with the zone.
     */
    fun groupCount(routerCount: Int): Int = (routerCount + ROUTERS_PER_GROUP - 1) / ROUTERS_PER_GROUP

    /** The leaders of all zones. */
    fun allLeaders(routers: Collection<ListedInstance>): Set<InstanceId> =
        routers.map { it.zone }.distinct().flatMapTo(HashSet()) { zoneLeaders(it, routers) }

    private fun zoneLeaders(
        zone: ZoneId,
        routers: Collection<ListedInstance>,
    ): List<InstanceId> {
        val ofZone = routers.filter { it.zone == zone }
        return RendezvousHash
            .rank(zone.value, ofZone) { it.instance.value }
            .sortedByDescending { it.linkCapacityMbps }
            .take(groupCount(ofZone.size) * LEADERS_PER_GROUP)
            .map { it.instance }
    }
}
