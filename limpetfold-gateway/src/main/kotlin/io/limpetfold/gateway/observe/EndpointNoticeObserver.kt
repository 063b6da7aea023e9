package io.limpetfold.gateway.observe

import io.limpetfold.core.EndpointId
import io.limpetfold.directory.Endpoint
import java.time.Duration

/** Logs and counts what endpoints say about themselves in their responses. */
internal class EndpointNoticeObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Endpoints of which an invalid value was logged, with the log event; each is logged once, since it may send many. */
    private val reported = LinkedHashSet<Pair<EndpointId, String>>()

    /** [endpoint] said that it is leaving. */
    fun onLeaving(endpoint: Endpoint) {
        metrics.countEvent(EVENTS_METRIC, "leaving")
        log.info("endpoint.leaving", "endpoint" to endpoint.id, "startedAtMillis" to endpoint.startedAtMillis)
    }

    /** [endpoint] gets no calls for [pause]. */
    fun onPaused(
        endpoint: Endpoint,
        pause: Duration,
    ) {
        metrics.countEvent(EVENTS_METRIC, "paused")
        log.info("endpoint.paused", "endpoint" to endpoint.id, "pauseMillis" to pause.toMillis())
    }

    /** [endpoint] takes [callsPerSecond] calls from all routers together, or any number again if that is null. */
    fun onCallLimit(
        endpoint: Endpoint,
        callsPerSecond: Double?,
    ) {
        if (callsPerSecond == null) {
            metrics.countEvent(EVENTS_METRIC, "limit_ended")
            log.info("endpoint.limit_ended", "endpoint" to endpoint.id)
        } else {
            metrics.countEvent(EVENTS_METRIC, "limited")
            log.info("endpoint.limited", "endpoint" to endpoint.id, "callsPerSecond" to callsPerSecond)
        }
    }

    /** [endpoint] named a limit of [value], which is not a decimal number. */
    fun onCallLimitIgnored(
        endpoint: Endpoint,
        value: String,
    ) {
        metrics.countEvent(EVENTS_METRIC, "limit_ignored")
        report("endpoint.limit_invalid", endpoint, value, "not a decimal number; the endpoint gets no limit from it")
    }

    /** [endpoint] asked for a pause of [value], which is longer than [limit]. */
    fun onRetryAfterLimited(
        endpoint: Endpoint,
        value: String,
        limit: Duration,
    ) {
        metrics.countEvent(EVENTS_METRIC, "retry_after_limited")
        report(RETRY_AFTER_EVENT, endpoint, value, "a pause may last ${limit.toSeconds()} s at most")
    }

    /** [endpoint] asked for a pause of [value], which is not a number of seconds. */
    fun onRetryAfterIgnored(
        endpoint: Endpoint,
        value: String,
    ) {
        metrics.countEvent(EVENTS_METRIC, "retry_after_ignored")
        report(RETRY_AFTER_EVENT, endpoint, value, "not a number of seconds; the endpoint gets no pause")
    }

    private fun report(
        event: String,
        endpoint: Endpoint,
        value: String,
        reason: String,
    ) {
        if (reported.size >= MAX_REPORTED) reported.remove(reported.first())
        if (!reported.add(endpoint.id to event)) return
        val shown = value.take(MAX_VALUE_CHARS)
        log.warn(event, "endpoint" to endpoint.id, "value" to shown, "reason" to reason)
    }

    companion object {
        const val EVENTS_METRIC = "limpetfold_endpoint_notices"
        private const val RETRY_AFTER_EVENT = "endpoint.retry_after_invalid"
        private const val MAX_REPORTED = 1_000
        private const val MAX_VALUE_CHARS = 40
    }
}
