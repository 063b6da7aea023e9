package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.LenderSelector
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.membership.Membership

/**
 * Selects lenders among the leaders of the own zone by rendezvous hash of the workspace.
 *
 * All routers of a group borrow tokens of a workspace from the same leader, so a ledger has one entry for each group,
 * and a small budget does not lie in parts that are too small for a call. In a full mesh each router keeps its own
 * accounts, which remain usable when any other router fails.
 */
internal class ZoneLenderSelector(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val membership: Membership,
) : LenderSelector {
    /** Estimated number of routers that hold an account of one workspace. */
    val holderCount: Int get() = if (membership.isFullMesh) membership.routerCount else membership.groupCount

    override fun lendersOf(workspace: WorkspaceId): List<InstanceId> {
        val reachable = membership.members().filter { !it.isDraining }.mapTo(HashSet()) { it.instance }
        return rankedLendersOf(workspace).filter { it in reachable }
    }

    /** Whether another router lends tokens of [workspace] to this one, reachable or not. */
    fun hasLender(workspace: WorkspaceId): Boolean = rankedLendersOf(workspace).isNotEmpty()

    private fun rankedLendersOf(workspace: WorkspaceId): List<InstanceId> {
        if (membership.isFullMesh) return emptyList()
        return RendezvousHash.rank(workspace.value, membership.leaders(zone)) { it.value }.takeWhile { it != self }
    }
}
