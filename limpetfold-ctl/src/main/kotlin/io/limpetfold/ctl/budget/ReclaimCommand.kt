package io.limpetfold.ctl.budget

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.getOrElse
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.store.UpdateError

/** Ends the ledger entry of a router incarnation whose process has ended. */
internal class ReclaimCommand :
    SessionCommand(
        "reclaim",
        "Ends the ledger entry of a router incarnation that was terminated, and frees its unspent tokens.",
    ) {
    private val workspace by argument(help = "workspace whose budget holds the grant").check(NAME_RULE) { isName(it) }
    private val holder by argument(help = "instance@incarnation, as budget stranded shows it")
    private val isTerminated by option("--confirm-terminated")
        .flag()
        .help(
            "confirms that the process has ended; reclaiming from a running router lets the workspace spend more than it has paid for",
        )
    private val spentTokens by option("--spent", metavar = "TOKENS")
        .long()
        .restrictTo(min = 0)
        .help(
            "cumulative spend of the holder; default is the highest copy on the routers of the settings, or all granted tokens without a copy",
        )

    override suspend fun run(session: CtlSession) {
        if (!isTerminated) {
            fail(ExitCode.INVALID_INPUT, "stop the process first, then add --confirm-terminated")
        }
        val incarnation =
            Incarnation.parse(holder)
                ?: fail(ExitCode.INVALID_INPUT, "'$holder' does not have the form instance@incarnation")
        val id = WorkspaceId(workspace)
        val ledgers = BudgetLedgerStore(session.store)
        if (ledgers
                .read(id)
                .orFail()
                ?.holders
                ?.containsKey(incarnation.key) != true
        ) {
            fail(ExitCode.NOT_FOUND, "$holder holds no grant of workspace $workspace")
        }
        val spent = spentTokens ?: replicatedSpend(session, incarnation) ?: PredecessorSpendLookup.WHOLE_GRANT
        val ledger =
            ledgers.reclaim(id, incarnation, spent).getOrElse { error ->
                when (error) {
                    is UpdateError.Refused -> fail(ExitCode.REFUSED, error.reason.message)
                    is UpdateError.Failed -> fail(ExitCode.PLATFORM_UNAVAILABLE, error.error.message)
                }
            }
        val counted = if (spent == PredecessorSpendLookup.WHOLE_GRANT) "all granted" else "$spent"
        printProgress("reclaimed $holder with $counted tokens spent")
        show(BudgetLine.of(id, ledger), BudgetLine.serializer()) { BudgetLine.table(listOf(it)) }
    }

    /**
     * Returns the highest spend that a router holds a copy of, or null without a copy.
     *
     * Ends the command when a router fails to respond: it may hold a higher copy, and reclaiming with too low a spend
     * would free tokens that are spent already.
     */
    private suspend fun replicatedSpend(
        session: CtlSession,
        incarnation: Incarnation,
    ): Long? {
        val responses = session.routers.getAll("/spent/$workspace/${incarnation.key}")
        responses.firstOrNull { it.failure != null }?.let {
            val remedy =
                "retry later, remove it from the settings' routers if it is the terminated one, or pass --spent"
            fail(ExitCode.REFUSED, "router ${it.router} ${it.failure} and may hold a copy; $remedy")
        }
        return responses.mapNotNull { it.body?.trim()?.toLongOrNull() }.maxOrNull()
    }
}
