package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.LenderSelector
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.WorkspaceId
import io.limpetfold.membership.Membership

/**
 * Selects lenders by rendezvous hash among the neighbours, which are the routers that this one is connected to.
 *
 * Each router borrows from the highest-ranked of its neighbours for a workspace, so that only a few routers of a large
 * fleet have entries in the workspace's ledger. In a full mesh each router keeps its own accounts, which remain usable
 * when any other router fails.
 */
internal class RendezvousLenderSelector(
    private val self: InstanceId,
    private val membership: Membership,
) : LenderSelector {
    /** Estimated number of routers that hold an account of one workspace. */
    val holderCount: Int
        get() {
            val routerCount = membership.routerCount
            return if (membership.isFullMesh) {
                routerCount
            } else {
                maxOf(
                    MIN_HOLDERS,
                    HOLDERS_PER_CONNECTED_GROUP * routerCount / CONNECTED_ROUTERS,
                )
            }
        }

    override fun lendersOf(workspace: WorkspaceId): List<InstanceId> {
        if (membership.isFullMesh) return emptyList()
        val candidates = membership.members().filter { !it.isDraining }.map { it.instance } + self
        return RendezvousHash.rank(workspace.value, candidates) { it.value }.takeWhile { it != self }
    }

    private companion object {
        /** Routers that each router is connected to: twelve that it selected and about twelve that selected it. */
        const val CONNECTED_ROUTERS = 24

        /**
         * Account holders for each group of [CONNECTED_ROUTERS] routers; more than one, because the neighbours of
         * different routers overlap only in part.
         */
        const val HOLDERS_PER_CONNECTED_GROUP = 3
        const val MIN_HOLDERS = 4
    }
}
