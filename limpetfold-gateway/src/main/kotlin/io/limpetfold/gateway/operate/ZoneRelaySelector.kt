package io.limpetfold.gateway.operate

import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.membership.Membership
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.replication.RelaySelector

/**
 * Selects the leaders of the own zone that rank before this router and are connected to it.
 *
 * Few routers of each zone thus watch the store, and what they see crosses zones once. In a full mesh every router
 * watches the store itself, so that none depends on another.
 */
internal class ZoneRelaySelector(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val membership: Membership,
    private val peers: PeerNetwork,
) : RelaySelector {
    override fun relays(): List<InstanceId> {
        if (membership.isFullMesh) return emptyList()
        val connected = peers.connectedPeers()
        return membership.leaders(zone).takeWhile { it != self }.filter { it in connected }
    }
}
