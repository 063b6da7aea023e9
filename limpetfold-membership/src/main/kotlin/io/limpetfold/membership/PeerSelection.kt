package io.limpetfold.membership

import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/**
 * Chooses the peers that a router opens connections to.
 *
 * Up to [MembershipPolicy.fullMeshLimit] these are all other routers. Above it, the two successors on a ring ordered by
 * instance keep the fleet connected, and rendezvous hashing selects the remaining peers, which keeps the number of hops
 * between two routers small.
 */
internal object PeerSelection {
    private const val RING_NEIGHBOURS = 2

    fun select(
        self: InstanceId,
        routers: Collection<InstanceId>,
        policy: MembershipPolicy,
    ): ImmutableSet<InstanceId> {
        val others = routers.filter { it != self }.distinct().sorted()
        if (others.size <= policy.fullMeshLimit) return others.toImmutableSet()
        val successors = (others.filter { it > self } + others.filter { it < self }).take(RING_NEIGHBOURS)
        val ranked = RendezvousHash.rank(self.value, others) { it.value }
        return (successors + ranked).distinct().take(policy.maxConnections).toImmutableSet()
    }
}
