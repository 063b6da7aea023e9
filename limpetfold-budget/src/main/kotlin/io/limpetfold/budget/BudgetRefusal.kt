package io.limpetfold.budget

import io.limpetfold.core.WorkspaceId
import java.time.Duration

/** Why no tokens were reserved; the request has not run. */
sealed interface BudgetRefusal {
    val workspace: WorkspaceId
    val message: String

    /** What the caller or the operator can do. */
    val remedy: String

    /** When a retry can have another outcome. */
    val retryAfter: Duration

    /** The platform and the reachable peers have fewer free tokens than the request needs. */
    data class InsufficientBudget(
        override val workspace: WorkspaceId,
        val neededTokens: Long,
        val freeTokens: Long,
        override val retryAfter: Duration,
    ) : BudgetRefusal {
        override val message get() = "workspace $workspace needs $neededTokens tokens and has $freeTokens free"
        override val remedy get() = "top up the workspace, lower the output limit, or retry when running requests have ended"
    }

    /** The platform cannot be asked for a grant, and no reachable peer could give enough. */
    data class PlatformUnavailable(
        override val workspace: WorkspaceId,
        val reason: String,
        override val retryAfter: Duration,
    ) : BudgetRefusal {
        override val message get() = "no grant for workspace $workspace can be had ($reason) and no peer could help"
        override val remedy get() = "retry later; if this persists, check the platform's object API"
    }

    /** The platform has no budget of this workspace. */
    data class UnknownWorkspace(
        override val workspace: WorkspaceId,
        override val retryAfter: Duration,
    ) : BudgetRefusal {
        override val message get() = "workspace $workspace has no budget"
        override val remedy get() = "check the workspace's name, or make a first top-up"
    }

    /** This router is closing, or its entry in the ledger was reclaimed. */
    data class RouterClosed(
        override val workspace: WorkspaceId,
        override val retryAfter: Duration,
    ) : BudgetRefusal {
        override val message get() = "this router does not spend for workspace $workspace any more"
        override val remedy get() = "retry through another router; if this router still runs, restart it"
    }
}
