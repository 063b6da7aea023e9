package io.limpetfold.gateway.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration

/** The metrics of a gateway; none has the workspace as a label, because there are thousands of workspaces. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** The metrics as text. */
    fun scrape(): String = registry.scrape()

    /** Registers a gauge that is read at each scrape. */
    fun gauge(
        name: String,
        description: String,
        value: () -> Double,
    ) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    /** Counts the end of a call. */
    fun callEnded(
        route: String,
        outcome: String,
        elapsed: Duration,
        firstByte: Duration?,
        sends: Int,
    ) {
        timer("limpetfold_call_duration", "Whole call", route).record(elapsed)
        if (firstByte != null) timer("limpetfold_call_first_byte", "Arrival to the first byte of the answer", route).record(firstByte)
        count("limpetfold_calls", "outcome", outcome)
        if (sends > 1) count("limpetfold_call_repeats", "route", route, (sends - 1).toDouble())
    }

    /** Counts a call that was refused from its head alone. */
    fun refused(type: String) = count("limpetfold_calls", "outcome", type)

    /** Counts an event of a part. */
    fun event(
        name: String,
        event: String,
    ) = count(name, "event", event)

    private fun count(
        name: String,
        label: String,
        value: String,
        amount: Double = 1.0,
    ) = Counter.builder(name).tag(label, value).register(registry).increment(amount)

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
