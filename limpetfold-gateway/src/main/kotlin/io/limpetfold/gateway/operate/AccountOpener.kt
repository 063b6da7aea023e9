package io.limpetfold.gateway.operate

import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.routing.RoutingTable
import kotlinx.coroutines.delay
import java.time.Duration
import kotlin.random.Random

/** Opens the accounts of all prepaid workspaces, here or at a lender, before calls need them; where there are many, they open as calls come. */
internal class AccountOpener(
    private val tokens: TokenBorrower,
    private val isFleetKnown: () -> Boolean,
    private val table: () -> RoutingTable?,
    private val random: Random,
) {
    private val opened = mutableSetOf<String>()

    /**
     * Opens what is not open yet, with pauses so that routers that start together do not write to one ledger at once.
     *
     * Waits until the number of routers is known: the first of many that start together would else hold its part of a fleet of one.
     */
    suspend fun maintain() {
        if (!isFleetKnown()) return
        val prepaid = table()?.workspaces?.filter { it.prepaidTokens != null }.orEmpty()
        if (prepaid.size > MAX_WORKSPACES) return
        for (workspace in prepaid.filter { it.workspace.value !in opened }.shuffled(random)) {
            if (!tokens.openAccount(workspace.workspace)) return
            opened += workspace.workspace.value
            delay(random.nextLong(PAUSE.toMillis()))
        }
    }

    private companion object {
        const val MAX_WORKSPACES = 64
        val PAUSE: Duration = Duration.ofMillis(40)
    }
}
