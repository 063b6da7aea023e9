package io.limpetfold.measure.limits

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.limpetfold.measure.MeasureCommand

/** Runs [LimitsMeasurement]. */
internal class LimitsCommand :
    MeasureCommand("limits", "Requests in flight, refusals and waits of routers that share endpoints.") {
    private val seeds by option(
        "--seeds",
        help = "runs for each row",
    ).int().restrictTo(1..1_000).default(LimitsSettings().seeds)

    private val maxInFlight by option("--max-in-flight", help = "slots of each endpoint")
        .int()
        .restrictTo(1..1_000)
        .default(LimitsSettings().maxInFlight)

    override fun run() = print(LimitsMeasurement().run(LimitsSettings(seeds = seeds, maxInFlight = maxInFlight)))
}
