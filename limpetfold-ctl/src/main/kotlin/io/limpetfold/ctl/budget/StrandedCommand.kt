package io.limpetfold.ctl.budget

import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.config.RouterStatus
import io.limpetfold.core.Incarnation
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.ctl.Table
import io.limpetfold.ctl.status.isFresh
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

/** Lists the grants of router incarnations whose last report is stale, or that a newer incarnation replaced. */
internal class StrandedCommand :
    SessionCommand("stranded", "Lists grants whose router incarnation no longer reports.") {
    override suspend fun run(session: CtlSession) {
        val live =
            session
                .readAll(RouterStatus.PREFIX, RouterStatus.serializer())
                .map { (_, status) -> status }
                .filter { it.isFresh(session.clock.instant()) }
                .map { status -> Incarnation(status.instance, status.incarnation) }
                .toImmutableSet()
        val lines =
            BudgetLedgerStore(session.store).stranded(live).orFail().map {
                Line(it.workspace.value, it.holder.key, it.grantedTokens, it.reportedSpentTokens, it.isReclaimed)
            }
        show(lines, ListSerializer(Line.serializer()), ::table)
    }

    private fun table(lines: List<Line>): String =
        Table.format(
            listOf("WORKSPACE", "HOLDER", "GRANTED", "REPORTED SPENT", "RECLAIMED"),
            lines.map {
                listOf(
                    it.workspace,
                    it.holder,
                    it.grantedTokens.toString(),
                    it.reportedSpentTokens.toString(),
                    if (it.isReclaimed) "waits for peers" else "no",
                )
            },
        )

    @Serializable
    private data class Line(
        val workspace: String,
        val holder: String,
        val grantedTokens: Long,
        val reportedSpentTokens: Long,
        val isReclaimed: Boolean,
    )
}
