package io.limpetfold.router.observe

import io.limpetfold.request.Refusal
import io.limpetfold.router.call.Call
import io.limpetfold.router.call.CallEnd
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/**
 * The metrics of a router; `docs/metrics.md` lists every name.
 *
 * No metric has the workspace as a label, because 21,000 workspaces would create as many time series on each router.
 */
internal class RouterMetrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val runningRequests = AtomicInteger()

    init {
        gauge("limpetfold_requests_running", "Requests being handled") { runningRequests.get().toDouble() }
    }

    /** Registers a gauge that is read at each scrape. */
    fun gauge(
        name: String,
        description: String,
        value: () -> Double,
    ) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    /** Adds [amount] to the counter [name] with the label [event], as in `limpetfold_budget_events{event="..."}`. */
    fun count(
        name: String,
        event: String,
        amount: Double = 1.0,
    ) = Counter
        .builder(name)
        .tag("event", event)
        .register(registry)
        .increment(amount)

    fun onStarted() {
        runningRequests.incrementAndGet()
    }

    fun onRefused(
        route: String,
        refusal: Refusal,
    ) = Counter
        .builder("limpetfold_refusals")
        .description("Requests refused, by type and by whether they ran")
        .tag("route", route)
        .tag("type", refusal.type)
        .tag("ran", refusal.ran.wireName)
        .register(registry)
        .increment()

    fun onEnded(
        call: Call,
        end: CallEnd,
    ) {
        runningRequests.decrementAndGet()
        val route = call.route.route.value
        val elapsed = Duration.ofNanos(call.arrivedAt.elapsedNow().inWholeNanoseconds)
        timer("limpetfold_request_duration", "Whole request", route, outcome(end)).record(elapsed)
        when (end) {
            is CallEnd.Answered -> {
                end.firstToken?.let { timer("limpetfold_first_token", "Arrival to first token", route).record(it) }
                end.betweenTokens?.let {
                    timer(
                        "limpetfold_between_tokens",
                        "Mean time between tokens",
                        route,
                    ).record(it)
                }
                Counter
                    .builder(
                        "limpetfold_tokens_charged",
                    ).tag("route", route)
                    .register(registry)
                    .increment(end.chargedTokens.toDouble())
            }
            is CallEnd.Refused -> onRefused(route, end.refusal)
            is CallEnd.Broken, CallEnd.Cancelled -> Unit
        }
    }

    private fun timer(
        name: String,
        description: String,
        route: String,
        outcome: String? = null,
    ): Timer {
        val builder = Timer.builder(name).description(description).tag("route", route)
        if (outcome != null) builder.tag("outcome", outcome)
        return builder.publishPercentileHistogram().register(registry)
    }

    private fun outcome(end: CallEnd): String =
        when (end) {
            is CallEnd.Answered -> "answered"
            is CallEnd.Refused -> "refused"
            is CallEnd.Broken -> "broken"
            CallEnd.Cancelled -> "cancelled"
        }

    companion object {
        /** Counter of the events of the budget agent. */
        const val BUDGET_EVENTS = "limpetfold_budget_events"

        /** Counter of other routers that joined or became unreachable. */
        const val MEMBER_EVENTS = "limpetfold_member_events"

        /** Counter of versions that this router or a peer withdrew. */
        const val WITHDRAWALS = "limpetfold_withdrawals"
    }
}
