package io.limpetfold.ctl.budget

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import com.github.ajalt.clikt.parameters.arguments.optional
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.core.WorkspaceId
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import kotlinx.serialization.builtins.ListSerializer

/** Shows one budget or all of them. */
internal class ShowBudgetCommand : SessionCommand("show", "Shows the budget of a workspace, or all budgets.") {
    private val workspace by argument(help = "default is all workspaces").optional().check(NAME_RULE) { isName(it) }

    override suspend fun run(session: CtlSession) {
        val lines = workspace?.let { listOf(readBudget(session, WorkspaceId(it))) } ?: readBudgets(session)
        show(lines, ListSerializer(BudgetLine.serializer()), BudgetLine::table)
    }

    private suspend fun readBudget(
        session: CtlSession,
        workspace: WorkspaceId,
    ): BudgetLine {
        val ledger = BudgetLedgerStore(session.store).read(workspace).orFail()
        return BudgetLine.of(
            workspace,
            ledger ?: fail(ExitCode.NOT_FOUND, "workspace $workspace has no budget; make a first top-up"),
        )
    }

    private suspend fun readBudgets(session: CtlSession): List<BudgetLine> =
        session
            .readAll(PREFIX, BudgetLedger.serializer())
            .map { (name, ledger) -> BudgetLine.of(WorkspaceId(name), ledger) }
            .sortedBy { it.workspace }

    private companion object {
        const val PREFIX = "budget/"
    }
}
