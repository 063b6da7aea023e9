package io.limpetfold.measure.overhead

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand
import java.time.Duration

/** Runs [OverheadMeasurement]. */
internal class OverheadCommand : MeasureCommand("overhead", "What a router adds to streamed answers, at rising load.") {
    private val seconds by option("--seconds", help = "arrivals of each row").int().restrictTo(1..60).default(8)

    override fun run() = print(OverheadMeasurement().run(OverheadSettings(time = Duration.ofSeconds(seconds.toLong()))))
}
