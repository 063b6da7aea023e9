package io.limpetfold.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.limpetfold.measure.report.MeasurementReport
import kotlin.io.path.writeText

/** A subcommand that runs one measurement, prints its report and, with `--json`, also writes it as JSON to a file. */
internal abstract class MeasureCommand(
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    private val json by option("--json", help = "also write the report as JSON to this file").path()

    override fun help(context: Context): String = helpText

    protected fun print(report: MeasurementReport) = print(report.toTable(), report.toJson())

    protected fun print(
        table: String,
        jsonText: String,
    ) {
        echo(table)
        json?.writeText(jsonText)
    }
}
