package io.limpetfold.budget

import io.limpetfold.core.WorkspaceId
import java.time.Duration

/** Why no tokens were reserved; the request has not run. */
sealed interface BudgetRefusal {
    val workspace: WorkspaceId
    val message: String

    /** The action for the caller or the operator. */
    val remedy: String

    /** The time after which a retry can have another outcome. */
    val retryAfter: Duration

    /**
     * The ledger and the reachable peers have too few free tokens for the request.
     *
     * @property balance the ledger as last seen; null when only a lender has seen it.
     */
    data class InsufficientBudget(
        override val workspace: WorkspaceId,
        val neededTokens: Long,
        val freeTokens: Long,
        override val retryAfter: Duration,
        val balance: LedgerBalance? = null,
    ) : BudgetRefusal {
        override val message
            get() =
                "workspace $workspace has $freeTokens free tokens, but the request needs $neededTokens"
        override val remedy
            get() =
                "top up the workspace, lower the output limit, or retry when running requests have completed"
    }

    /** The platform could not be called for a grant, and the reachable peers had too few tokens. */
    data class PlatformUnavailable(
        override val workspace: WorkspaceId,
        val reason: String,
        override val retryAfter: Duration,
    ) : BudgetRefusal {
        override val message
            get() =
                "no grant of the platform was available for workspace $workspace ($reason), and no peer sent enough tokens"
        override val remedy get() = "retry later; if this persists, check the platform's object API"
    }

    /** The workspace has no ledger. */
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
        override val message get() = "this router no longer spends the budget of workspace $workspace"
        override val remedy get() = "retry through another router; if this router is still running, restart it"
    }
}
