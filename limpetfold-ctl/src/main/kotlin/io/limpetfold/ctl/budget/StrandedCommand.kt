package io.limpetfold.ctl.budget

import io.limpetfold.budget.BudgetLedgers
import io.limpetfold.config.RouterStatus
import io.limpetfold.core.Incarnation
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.ctl.Table
import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

/** Lists grants of router incarnations that no longer report. */
internal class StrandedCommand : SessionCommand("stranded", "Lists grants whose router incarnation no longer runs.") {
    override suspend fun run(session: CtlSession) {
        val live =
            session.store
                .list(RouterStatus.PREFIX)
                .orFail()
                .objects
                .map { TypedObject.JSON.decodeFromString(RouterStatus.serializer(), it.value) }
                .map { Incarnation(it.instance, it.incarnation) }
                .toImmutableSet()
        val lines =
            BudgetLedgers(session.store).stranded(live).orFail().map {
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
