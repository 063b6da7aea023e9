package io.limpetfold.ctl.budget

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.getOrElse
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.TopUpId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.store.UpdateError

/** Adds prepaid tokens to a budget; a repeated `--id` adds nothing. */
internal class TopUpCommand : SessionCommand("top-up", "Adds prepaid tokens to a workspace's budget.") {
    private val workspace by argument(help = "a configured workspace").check(NAME_RULE) { isName(it) }
    private val tokens by argument(help = "tokens to add").long().restrictTo(1..BudgetLedger.MAX_TOP_UP_TOKENS)
    private val id by option("--id")
        .required()
        .help(
            "date and reference, as in 2026-12-04/invoice-7; retry with the same one after an unknown outcome, so that nothing is added twice",
        )

    override suspend fun run(session: CtlSession) {
        val topUpId =
            try {
                TopUpId(id)
            } catch (e: IllegalArgumentException) {
                fail(ExitCode.INVALID_INPUT, e.message ?: "--id does not have the form date/reference")
            }
        // Without this check a misspelt name would credit the payment to a budget that no caller can use.
        if (session.configuration().workspace(WorkspaceId(workspace)) == null) {
            fail(
                ExitCode.NOT_FOUND,
                "workspace $workspace is not configured; correct the name, or publish the workspace first",
            )
        }
        val ledger =
            BudgetLedgerStore(session.store).topUp(WorkspaceId(workspace), topUpId, tokens).getOrElse { error ->
                when (error) {
                    is UpdateError.Refused -> fail(ExitCode.REFUSED, error.reason.message)
                    is UpdateError.Failed -> fail(ExitCode.PLATFORM_UNAVAILABLE, error.error.message)
                }
            }
        val line = BudgetLine.of(WorkspaceId(workspace), ledger)
        show(line, BudgetLine.serializer()) { BudgetLine.table(listOf(it)) }
    }
}
