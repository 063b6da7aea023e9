package io.limpetfold.measure.budgets

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand

/** Runs [BudgetsMeasurement]. */
internal class BudgetsCommand :
    MeasureCommand("budgets", "Overspend, false refusals, stranded tokens and platform writes of budget policies.") {
    private val seeds by option(
        "--seeds",
        help = "runs for each row",
    ).int().restrictTo(1..1_000).default(BudgetsSettings().seeds)
    private val isWithoutSweep by option("--no-sweep", help = "measure only the presets and the baselines").flag()

    override fun run() = print(BudgetsMeasurement().run(BudgetsSettings(seeds = seeds, hasSweep = !isWithoutSweep)))
}
