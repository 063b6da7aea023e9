package io.limpetfold.measure.overhead

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand
import java.time.Duration

/** Runs [OverheadMeasurement]. */
internal class OverheadCommand :
    MeasureCommand("overhead", "What a router adds to streamed responses, at increasing load.") {
    private val seconds by option(
        "--seconds",
        help = "duration of each row in seconds",
    ).int().restrictTo(1..60).default(8)

    override fun run() =
        print(OverheadMeasurement().run(OverheadSettings(duration = Duration.ofSeconds(seconds.toLong()))))
}
