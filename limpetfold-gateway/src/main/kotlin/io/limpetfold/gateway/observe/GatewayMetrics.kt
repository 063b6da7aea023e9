package io.limpetfold.gateway.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration

/** Metrics of a gateway; no metric has a workspace label, because there are thousands of workspaces. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Registers a gauge; [value] is read at each scrape. */
    fun gauge(
        name: String,
        description: String,
        value: () -> Double,
    ) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    /**
     * Records the end of a call; [firstByte] is null when no response was started, and [attempts] counts connect
     * failures too.
     */
    fun recordCallEnded(
        route: String,
        outcome: String,
        elapsed: Duration,
        firstByte: Duration?,
        attempts: Int,
    ) {
        timer("limpetfold_call_duration", "Whole call", route).record(elapsed)
        if (firstByte != null) {
            timer("limpetfold_call_first_byte", "Arrival to the first byte of the answer", route).record(firstByte)
        }
        count("limpetfold_calls", "outcome", outcome)
        if (attempts > 1) count("limpetfold_call_repeats", "route", route, (attempts - 1).toDouble())
    }

    /** Counts a call that was refused at admission. */
    fun recordCallRefused(type: String) = count("limpetfold_calls", "outcome", type)

    /** Counts [event] in the counter [name]. */
    fun countEvent(
        name: String,
        event: String,
    ) = count(name, "event", event)

    private fun count(
        name: String,
        label: String,
        value: String,
        amount: Double = 1.0,
    ) = Counter
        .builder(name)
        .tag(label, value)
        .register(registry)
        .increment(amount)

    private fun timer(
        name: String,
        description: String,
        route: String,
    ): Timer =
        Timer
            .builder(name)
            .description(description)
            .tag("route", route)
            .publishPercentileHistogram()
            .register(registry)
}
