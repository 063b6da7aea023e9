package io.limpetfold.budget.loan

import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId

/** Names the routers that lend tokens of a workspace to this one, those to ask first ahead; none where it keeps an account of its own. */
fun interface LenderSelector {
    fun lendersOf(workspace: WorkspaceId): List<InstanceId>
}
