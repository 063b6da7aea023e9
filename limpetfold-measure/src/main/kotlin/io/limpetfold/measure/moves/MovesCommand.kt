package io.limpetfold.measure.moves

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand

/** Runs [MovesMeasurement]. */
internal class MovesCommand : MeasureCommand("moves", "Outcomes of moves to good and bad versions.") {
    private val seeds by option(
        "--seeds",
        help = "runs for each row",
    ).int().restrictTo(1..1_000).default(MovesSettings().seeds)

    override fun run() {
        val report = MovesMeasurement().run(MovesSettings(seeds = seeds))
        val head =
            "moves: seeds=0..${report.seeds - 1}, routers=${report.routers}, duration=${report.durationSeconds} s\n" +
                "baseline: fixed steps with a fixed error threshold\n\n"
        print(head + report.toTable(), report.toJson())
    }
}
