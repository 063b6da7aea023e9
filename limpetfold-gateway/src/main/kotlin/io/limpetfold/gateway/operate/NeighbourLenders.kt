package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.LenderChoice
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.WorkspaceId
import io.limpetfold.membership.Member

/**
 * Chooses lenders among the routers that this one is connected to, by rendezvous hash.
 *
 * Each router asks the first of its neighbours for a workspace, so that a few routers of a large fleet have entries in its ledger. In a
 * fleet where all routers are connected each keeps its own accounts, which serve on when any other router is lost.
 */
internal class NeighbourLenders(
    private val self: InstanceId,
    private val routerCount: () -> Int,
    private val members: () -> List<Member>,
) : LenderChoice {
    /** About how many routers have an account of one workspace. */
    val holderCount: Int
        get() = if (isLarge) maxOf(MIN_HOLDERS, routerCount() / NEIGHBOURS * 2) else routerCount()

    private val isLarge: Boolean get() = routerCount() > LARGEST_OF_OWN_ACCOUNTS

    override fun lendersOf(workspace: WorkspaceId): List<InstanceId> {
        if (!isLarge) return emptyList()
        val candidates = members().filter { !it.isDraining }.map { it.instance } + self
        return RendezvousHash.rank(workspace.value, candidates) { it.value }.takeWhile { it != self }
    }

    private companion object {
        /** Membership connects all routers of a fleet up to this size. */
        const val LARGEST_OF_OWN_ACCOUNTS = 17

        /** The routers that one is connected to in a larger fleet: twelve by its own choice and as many by theirs. */
        const val NEIGHBOURS = 24
        const val MIN_HOLDERS = 4
    }
}
