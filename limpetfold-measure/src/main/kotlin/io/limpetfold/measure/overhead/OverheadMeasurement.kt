package io.limpetfold.measure.overhead

import io.limpetfold.http.HostPort
import io.limpetfold.measure.fleet.RouterFleet
import io.limpetfold.measure.fleet.RouterProcess
import io.limpetfold.measure.report.MeasurementReport
import io.limpetfold.standins.EngineStandin
import io.limpetfold.standins.EngineStandinSettings
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
import org.HdrHistogram.Histogram
import java.time.Duration
import java.util.Locale
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Measures the overhead of a router on streamed responses, against a direct connection to the same engine stand-in. */
class OverheadMeasurement {
    fun run(settings: OverheadSettings): MeasurementReport {
        val engine = EngineStandin(ENGINE)
        val rows =
            engine.use {
                RouterFleet(1, engine).use { fleet ->
                    fleet.start()
                    val warmUp = settings.copy(duration = WARM_UP_DURATION)
                    load(fleet, fleet.engineAddress, warmUp, WARM_UP_RATE)
                    load(fleet, fleet.callersAddress(0), warmUp, WARM_UP_RATE)
                    settings.rates.flatMap { rate ->
                        listOf(
                            row("direct", rate, load(fleet, fleet.engineAddress, settings, rate), null),
                            row("router", rate, load(fleet, fleet.callersAddress(0), settings, rate), fleet.routers[0]),
                        )
                    }
                }
            }
        return MeasurementReport(
            "overhead",
            mapOf(
                "tokens" to "${settings.tokens}",
                "tokenMillis" to "${ENGINE.tokenMillis}",
                "secondsPerRow" to "${settings.duration.toSeconds()}",
                "arrivals" to "evenly spaced, independent of answers",
                "router" to RouterProcess.JAVA_OPTS,
            ),
            "direct: the same caller code and engine stand-in without the router, in turn with it",
            rows,
        )
    }

    private fun load(
        fleet: RouterFleet,
        address: HostPort,
        settings: OverheadSettings,
        rate: Int,
    ): LoadResult {
        val call = StreamedCall(fleet.client, address, settings.tokens)
        val outcomes = StreamedCall.Outcome.entries.associateWith { AtomicInteger() }
        val cpuBefore = fleet.routers[0].cpu()
        val start = TimeSource.Monotonic.markNow()
        val count = (rate * settings.duration.toMillis() / MILLIS_PER_SECOND).toInt()
        runBlocking(Dispatchers.Default) {
            coroutineScope {
                for (index in 0 until count) {
                    val due = (NANOS_PER_SECOND / rate * index).nanoseconds - start.elapsedNow()
                    if (due.isPositive()) delay(due)
                    launch { outcomes.getValue(call.send()).incrementAndGet() }
                }
            }
        }
        val elapsed = start.elapsedNow()
        val cpu = (fleet.routers[0].cpu() - cpuBefore).toKotlinDuration() / elapsed
        return LoadResult(
            call.firstToken.intervalHistogram,
            call.betweenTokens.intervalHistogram,
            outcomes.mapValues { it.value.get() },
            outcomes.getValue(StreamedCall.Outcome.COMPLETE).get() / (elapsed.inWholeMilliseconds / MILLIS_PER_SECOND),
            cpu,
        )
    }

    private fun row(
        path: String,
        rate: Int,
        load: LoadResult,
        router: RouterProcess?,
    ): Map<String, JsonPrimitive> =
        MeasurementReport.row(
            "requests offered a second" to rate,
            "path" to path,
            "answered a second" to load.completedPerSecond,
            "refused" to load.outcomes.getValue(StreamedCall.Outcome.REFUSED),
            "broken" to load.outcomes.getValue(StreamedCall.Outcome.BROKEN),
            "first token p50/p95/p99 ms" to percentiles(load.firstToken),
            "between tokens p50/p95/p99 ms" to percentiles(load.betweenTokens),
            "router cores" to (if (router == null) "-" else load.cores),
            "router CPU ms per request" to
                (
                    if (router == null ||
                        load.completedPerSecond == 0.0
                    ) {
                        "-"
                    } else {
                        load.cores * MILLIS_PER_SECOND / load.completedPerSecond
                    }
                ),
        )

    private fun percentiles(histogram: Histogram): String =
        listOf(50.0, 95.0, 99.0).joinToString(" / ") {
            "%.2f".format(
                Locale.ROOT,
                histogram.getValueAtPercentile(it) / MICROS_PER_MILLI,
            )
        }

    private class LoadResult(
        val firstToken: Histogram,
        val betweenTokens: Histogram,
        val outcomes: Map<StreamedCall.Outcome, Int>,
        val completedPerSecond: Double,
        val cores: Double,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NANOS_PER_SECOND = 1_000_000_000.0
        const val MICROS_PER_MILLI = 1_000.0
        const val WARM_UP_RATE = 100
        val WARM_UP_DURATION: Duration = Duration.ofSeconds(5)

        /** An engine whose token rate does not depend on its load, so that differences come from the path alone. */
        val ENGINE =
            EngineStandinSettings(
                capacity = 4_000,
                tokenMillis = 10.0,
                loadSlowdown = 0.0,
                rejectAbove = 4_000,
                keepMillis = 1_000,
            )
    }
}
