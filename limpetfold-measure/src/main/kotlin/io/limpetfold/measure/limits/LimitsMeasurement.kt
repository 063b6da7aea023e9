package io.limpetfold.measure.limits

import io.limpetfold.measure.report.MeasurementReport
import kotlinx.serialization.json.JsonPrimitive
import java.util.stream.IntStream

/**
 * Measures requests in flight, refusals and waits of routers that share endpoints.
 *
 * Runs the limiter over fakes in virtual time.
 */
class LimitsMeasurement {
    fun run(settings: LimitsSettings): MeasurementReport =
        MeasurementReport(
            "limits",
            mapOf(
                "seeds" to "0..${settings.seeds - 1}",
                "routers" to "${settings.routers}",
                "seats" to "${settings.seats}",
                "endpoints" to "${settings.endpoints}",
                "maxInFlight" to "${settings.maxInFlight}",
                "serviceTime" to "${settings.serviceTime.toMillis()} ms",
                "patience" to "${settings.maxWait.toSeconds()} s",
                "duration" to "${settings.duration.toSeconds()} s",
            ),
            "fixed share: the same limiter without lending",
            LimitsScenario.entries.flatMap {
                listOf(
                    row(settings, it, isLending = true),
                    row(settings, it, isLending = false),
                )
            },
        )

    private fun row(
        settings: LimitsSettings,
        scenario: LimitsScenario,
        isLending: Boolean,
    ): Map<String, JsonPrimitive> {
        val results =
            IntStream
                .range(0, settings.seeds)
                .parallel()
                .mapToObj { LimitsSimulation(settings, scenario, it.toLong(), isLending).run() }
                .toList()
        val waits = results.flatMap { it.waitsMillis }.sorted()
        return MeasurementReport.row(
            "events" to scenario.title,
            "policy" to if (isLending) "lending" else "fixed share",
            "requests" to results.sumOf { it.requests },
            "most in flight at one endpoint" to results.maxOf { it.maxInFlight },
            "bound" to settings.maxInFlight,
            "refused, in 1,000" to PER_THOUSAND * results.sumOf { it.refused } / results.sumOf { it.requests },
            "wait p50 ms" to percentile(waits, P50),
            "wait p95 ms" to percentile(waits, P95),
            "wait p99 ms" to percentile(waits, P99),
            "peer messages a second and router" to
                results.sumOf { it.peerMessages }.toDouble() / settings.seeds / settings.routers /
                settings.duration.toSeconds(),
        )
    }

    private fun percentile(
        sorted: List<Long>,
        share: Double,
    ): Long = sorted[minOf(sorted.lastIndex, (sorted.size * share).toInt())]

    private companion object {
        const val PER_THOUSAND = 1_000.0
        const val P50 = 0.5
        const val P95 = 0.95
        const val P99 = 0.99
    }
}
