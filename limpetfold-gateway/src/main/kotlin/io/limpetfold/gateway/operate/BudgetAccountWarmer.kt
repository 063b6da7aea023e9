package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.core.WorkspaceId
import io.limpetfold.routing.RoutingTable
import kotlinx.coroutines.delay
import java.time.Duration
import kotlin.random.Random

/**
 * Opens the accounts of all prepaid workspaces that this router holds, before the first call needs them. Those of which
 * it borrows tokens are opened by the lender.
 *
 * With more than [MAX_WORKSPACES] prepaid workspaces, each account is opened by the first call instead.
 */
internal class BudgetAccountWarmer(
    private val tokens: TokenBorrower,
    private val hasLender: (WorkspaceId) -> Boolean,
    private val isRouterCountKnown: () -> Boolean,
    private val table: () -> RoutingTable?,
    private val random: Random,
) {
    private val opened = mutableSetOf<String>()

    /**
     * Opens the accounts that are not open yet, in random order and with pauses, so that routers that start together do
     * not write to the same ledger at once.
     *
     * Does nothing until the number of routers is known; otherwise the first of many routers that start together would
     * take the share of a fleet of one.
     */
    suspend fun maintain() {
        if (!isRouterCountKnown()) return
        val prepaid = table()?.workspaces?.filter { it.prepaidTokens != null }.orEmpty()
        if (prepaid.size > MAX_WORKSPACES) return
        for (workspace in prepaid.filter { it.workspace.value !in opened }.shuffled(random)) {
            if (!hasLender(workspace.workspace)) {
                if (!tokens.openAccount(workspace.workspace)) return
                delay(random.nextLong(MAX_PAUSE.toMillis()))
            }
            opened += workspace.workspace.value
        }
    }

    private companion object {
        const val MAX_WORKSPACES = 64
        val MAX_PAUSE: Duration = Duration.ofMillis(40)
    }
}
