package io.limpetfold.budget

import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork

/**
 * The routers that can remember the ceilings of this router's accounts; without any, accounts have no ceilings.
 *
 * @property preferredFirst the other routers that run as far as this router knows, in the order of preference.
 */
class WitnessCandidates(
    val preferredFirst: () -> List<InstanceId>,
) {
    companion object {
        /** All routers that are connected to this one. */
        fun connectedTo(peers: PeerNetwork): WitnessCandidates =
            WitnessCandidates { peers.connectedPeers().sortedBy { it.value } }
    }
}
