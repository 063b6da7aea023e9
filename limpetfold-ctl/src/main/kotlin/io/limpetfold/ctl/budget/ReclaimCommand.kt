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

/** Ends the entry of a holder whose process has ended. */
internal class ReclaimCommand :
    SessionCommand("reclaim", "Ends the ledger entry of a router incarnation that was terminated, and frees its remainder.") {
    private val workspace by argument(help = "workspace whose budget holds the grant").check(NAME_RULE) { isName(it) }
    private val holder by argument(help = "instance@incarnation, as budget stranded shows it")
    private val isTerminated by option("--confirm-terminated")
        .flag()
        .help("confirms that the process has ended; reclaiming from a running router lets the workspace spend too much")
    private val spentTokens by option("--spent", metavar = "TOKENS")
        .long()
        .restrictTo(min = 0)
        .help("cumulative spend; default is the highest copy that the routers of the settings hold, or all granted tokens without a copy")

    override suspend fun run(session: CtlSession) {
        if (!isTerminated) {
            fail(ExitCode.INVALID_INPUT, "stop the process first, then add --confirm-terminated")
        }
        val incarnation = Incarnation.parse(holder) ?: fail(ExitCode.INVALID_INPUT, "'$holder' has no form instance@incarnation")
        val id = WorkspaceId(workspace)
        val ledgers = BudgetLedgerStore(session.store)
        if (ledgers.read(id).orFail()?.holders?.containsKey(incarnation.key) != true) {
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
        progress("reclaimed $holder with $counted tokens spent")
        show(BudgetLine.of(id, ledger), BudgetLine.serializer()) { BudgetLine.table(listOf(it)) }
    }

    /** The highest copy; a router that does not answer may hold a higher one, and too low a spend would free spent tokens. */
    private suspend fun replicatedSpend(
        session: CtlSession,
        incarnation: Incarnation,
    ): Long? {
        val replies = session.routers.getAll("/spent/$workspace/${incarnation.key}")
        replies.firstOrNull { it.failure != null }?.let {
            val remedy = "repeat later, leave it out of the settings' routers if it is the terminated one, or give --spent"
            fail(ExitCode.REFUSED, "router ${it.router} ${it.failure} and may hold a copy; $remedy")
        }
        return replies.mapNotNull { it.body?.trim()?.toLongOrNull() }.maxOrNull()
    }
}
