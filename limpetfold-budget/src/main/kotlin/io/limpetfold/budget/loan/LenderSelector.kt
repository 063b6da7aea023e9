package io.limpetfold.budget.loan

import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId

/** Selects the routers that this router borrows tokens of a workspace from. */
fun interface LenderSelector {
    /**
     * The lenders of [workspace] in the order in which they are asked; empty where this router uses its own account.
     */
    fun lendersOf(workspace: WorkspaceId): List<InstanceId>
}
