package io.limpetfold.gateway.observe

import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamListener

/** Logs and counts responses and bytes of endpoints that belong to no running request. */
internal class EndpointConnectionObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) : UpstreamListener {
    /** Endpoints whose responses were logged; each is logged once for each kind, since it may send many. */
    private val reported = LinkedHashSet<Pair<String, HostPort>>()

    override fun onUnsolicitedBytes(address: HostPort) = record("unsolicited_bytes", address)

    override fun onIdentityMismatch(address: HostPort) = record("identity_mismatch", address)

    private fun record(
        event: String,
        address: HostPort,
    ) {
        metrics.countEvent(EVENTS_METRIC, event)
        if (reported.size >= MAX_REPORTED) reported.remove(reported.first())
        if (reported.add(event to address)) log.warn("endpoint.$event", "address" to address)
    }

    companion object {
        const val EVENTS_METRIC = "limpetfold_endpoint_connections"
        private const val MAX_REPORTED = 1_000
    }
}
