package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.LenderSelector
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.WorkspaceId
import io.limpetfold.membership.Membership

/**
 * Chooses lenders among the routers that this one is connected to, by rendezvous hash.
 *
 * Each router asks the first of its neighbours for a workspace, so that a few routers of a large fleet have entries in its ledger. In a
 * full mesh each router keeps its own accounts, which serve on when any other router is lost.
 */
internal class NeighbourLenders(
    private val self: InstanceId,
    private val membership: Membership,
) : LenderSelector {
    /** About how many routers have an account of one workspace. */
    val holderCount: Int
        get() {
            val routerCount = membership.routerCount
            return if (membership.isFullMesh) routerCount else maxOf(MIN_HOLDERS, HOLDERS_PER_NEIGHBOURHOOD * routerCount / NEIGHBOURS)
        }

    override fun lendersOf(workspace: WorkspaceId): List<InstanceId> {
        if (membership.isFullMesh) return emptyList()
        val candidates = membership.members().filter { !it.isDraining }.map { it.instance } + self
        return RendezvousHash.rank(workspace.value, candidates) { it.value }.takeWhile { it != self }
    }

    private companion object {
        /** The routers that one is connected to: twelve by its own choice and as many by theirs. */
        const val NEIGHBOURS = 24

        /** Neighbourhoods overlap only in part, so they choose more than one lender each. */
        const val HOLDERS_PER_NEIGHBOURHOOD = 3
        const val MIN_HOLDERS = 4
    }
}
