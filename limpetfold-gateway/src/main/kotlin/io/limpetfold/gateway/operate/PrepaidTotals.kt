package io.limpetfold.gateway.operate

import io.limpetfold.budget.PaidTotal
import io.limpetfold.core.WorkspaceId
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.routing.RoutingTable

/** What workspaces have paid for, which the configuration states. */
internal class PrepaidTotals(
    private val log: DecisionLog,
    private val current: () -> RoutingTable?,
) {
    /** Returns the total of [workspace] with the version that states it; null while it is not limited or not known. */
    fun of(workspace: WorkspaceId): PaidTotal? {
        val table = current() ?: return null
        return table.workspace(workspace.value)?.prepaidTokens?.let { PaidTotal(it, table.version) }
    }

    /** Logs the totals that differ between two versions; returns whether there are any. */
    fun logChanges(
        previous: RoutingTable?,
        next: RoutingTable,
    ): Boolean {
        val before = previous?.workspaces?.associate { it.workspace to it.prepaidTokens }.orEmpty()
        val changed = next.workspaces.filter { it.prepaidTokens != before[it.workspace] }
        for (workspace in changed.take(MAX_LOGGED_WORKSPACES)) {
            log.info(
                "config.prepaid",
                "workspace" to workspace.workspace,
                "version" to next.version,
                "before" to before[workspace.workspace],
                "tokens" to workspace.prepaidTokens,
            )
        }
        return changed.isNotEmpty()
    }

    private companion object {
        const val MAX_LOGGED_WORKSPACES = 32
    }
}
