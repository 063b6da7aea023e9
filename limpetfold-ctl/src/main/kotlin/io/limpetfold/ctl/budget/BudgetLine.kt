package io.limpetfold.ctl.budget

import io.limpetfold.budget.BudgetLedger
import io.limpetfold.core.WorkspaceId
import io.limpetfold.ctl.Table
import kotlinx.serialization.Serializable

/** A budget as `limpetfold-ctl` prints it; amounts in tokens. */
@Serializable
internal data class BudgetLine(
    val workspace: String,
    val paidTokens: Long,
    val settledTokens: Long,
    val grantedTokens: Long,
    val reportedSpentTokens: Long,
    val freeTokens: Long,
    val holders: Int,
) {
    companion object {
        fun of(
            workspace: WorkspaceId,
            ledger: BudgetLedger,
        ) = BudgetLine(
            workspace.value,
            ledger.paidTokens,
            ledger.settledTokens,
            ledger.holders.values.sumOf { it.grantedTokens },
            ledger.holders.values.sumOf { it.reportedSpentTokens },
            ledger.freeTokens,
            ledger.holders.size,
        )

        fun table(lines: List<BudgetLine>): String =
            Table.format(
                listOf("WORKSPACE", "PAID", "SETTLED", "GRANTED", "SPENT OF GRANTS", "FREE", "HOLDERS"),
                lines.map {
                    listOf(
                        it.workspace,
                        it.paidTokens.toString(),
                        it.settledTokens.toString(),
                        it.grantedTokens.toString(),
                        it.reportedSpentTokens.toString(),
                        it.freeTokens.toString(),
                        it.holders.toString(),
                    )
                },
            )
    }
}
