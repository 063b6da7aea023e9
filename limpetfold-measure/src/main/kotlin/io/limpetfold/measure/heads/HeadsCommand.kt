package io.limpetfold.measure.heads

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand

/** Runs [HeadsMeasurement]. */
internal class HeadsCommand :
    MeasureCommand("heads", "What reading the head of a request costs, by its number of fields.") {
    private val rounds by option(
        "--rounds",
        help = "rounds of requests for each number of fields",
    ).int().restrictTo(1..200).default(20)

    override fun run() = print(HeadsMeasurement().run(rounds))
}
