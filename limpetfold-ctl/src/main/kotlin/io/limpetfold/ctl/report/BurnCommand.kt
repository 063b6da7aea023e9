package io.limpetfold.ctl.report

import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.limpetfold.burn.SloBurnRecord
import io.limpetfold.burn.SloBurnReport
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.ctl.Table
import io.limpetfold.rollout.MoveRecord
import java.io.IOException
import java.util.Locale
import kotlin.io.path.writeText

/** Reports how fast each service-level objective's error budget is spent. */
internal class BurnCommand : SessionCommand("burn", "Reports how fast the error budgets of the objectives are spent.") {
    private val html by option("--html", metavar = "FILE").path().help("also write the report as a page with plots")

    override suspend fun run(session: CtlSession) {
        val config = session.configuration()
        val records = session.readAll(SloBurnRecord.PREFIX, SloBurnRecord.serializer()).map { it.second }
        val report = SloBurnReport.create(records, config, session.clock.instant())
        html?.let { file ->
            val moves = session.readAll(MoveRecord.PREFIX, MoveRecord.serializer()).map { it.second }
            try {
                file.writeText(BurnPage.create(report, config, moves))
            } catch (e: IOException) {
                fail(
                    ExitCode.INVALID_INPUT,
                    "can't write $file (${e.javaClass.simpleName}); check the path and its permissions",
                )
            }
            printProgress("wrote $file")
        }
        show(report, SloBurnReport.serializer(), ::table)
    }

    private fun table(report: SloBurnReport): String =
        Table.format(
            listOf(
                "ROUTE",
                "WORKSPACE",
                "WINDOW",
                "TOTAL",
                "FAILED",
                "SLOW",
                "AVAILABILITY BURN",
                "LATENCY BURN",
                "STATE",
            ),
            report.lines.map {
                listOf(
                    it.route,
                    it.workspace,
                    it.window,
                    it.total.toString(),
                    it.failed.toString(),
                    it.slow.toString(),
                    rate(it.availabilityBurn),
                    rate(it.latencyBurn),
                    if (it.isBreached) "BREACH" else "ok",
                )
            },
        )

    private fun rate(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
