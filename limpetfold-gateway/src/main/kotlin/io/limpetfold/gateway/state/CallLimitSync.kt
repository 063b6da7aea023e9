package io.limpetfold.gateway.state

import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.dispatch.CallLimitStatement
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.time.Duration

/**
 * Exchanges the limits that endpoints stated between routers, because most routers of a large fleet call a limited
 * endpoint too seldom to see in a response that its limit has ended.
 *
 * A router with news sends it to all members, which pass it on. It also tells members that it has not reached yet, such as
 * one that has just started or to which a message was lost. A router that knows of no limit, past or present, sends
 * nothing.
 */
internal class CallLimitSync(
    private val picker: EndpointPicker,
    private val observer: EndpointNoticeObserver,
    private val peers: PeerNetwork,
    private val clock: MonotonicClock,
    private val dispatcher: CoroutineDispatcher,
) {
    private var sentRevision = 0L
    private var reached: Set<InstanceId> = emptySet()

    /** Registers the handler of the topic; must be called before the peer network starts. */
    fun register() {
        peers.registerHandler(CALL_LIMITS_TOPIC) { _, received ->
            withContext(dispatcher) {
                merge(received)
                reports()
            }
        }
    }

    /** Sends what this router knows to all [members] if there is news, else to those that it has not reached. */
    suspend fun maintain(members: List<Member>) {
        val revision = picker.callLimits.revision
        if (picker.statesWithCallLimit().isEmpty()) return
        if (revision != sentRevision) reached = emptySet()
        sentRevision = revision
        val instances = members.mapTo(HashSet()) { it.instance }
        reached = instances.intersect(reached)
        reached = reached + exchangeWith(instances - reached)
    }

    private suspend fun exchangeWith(instances: Set<InstanceId>): Set<InstanceId> {
        if (instances.isEmpty()) return emptySet()
        val reports = reports()
        val replies =
            coroutineScope {
                instances
                    .map { async { it to peers.ask(it, CALL_LIMITS_TOPIC, reports, PEER_TIMEOUT).get() } }
                    .awaitAll()
            }
        replies.forEach { (_, reply) -> reply?.let(::merge) }
        return replies.filter { (_, reply) -> reply != null }.mapTo(HashSet()) { (instance, _) -> instance }
    }

    private fun reports(): CallLimitReports {
        val now = clock.now()
        return CallLimitReports(
            picker.statesWithCallLimit().mapNotNull { state ->
                val limit = state.callLimit ?: return@mapNotNull null
                val ageMillis = (now - limit.statedAt).toMillis()
                CallLimitReport(state.endpoint.id, state.endpoint.startedAtMillis, limit.callsPerSecond, ageMillis)
            },
        )
    }

    private fun merge(received: CallLimitReports) {
        val now = clock.now()
        received.reports
            .take(MAX_REPORTS)
            .filter { it.isValid }
            .forEach { report ->
                val state = picker.state(report.endpoint, now)
                if (state != null && state.endpoint.startedAtMillis == report.startedAtMillis) merge(report, state, now)
            }
    }

    private fun merge(
        report: CallLimitReport,
        state: EndpointState,
        now: Duration,
    ) {
        val known = state.callLimit
        val statedAt = now - Duration.ofMillis(report.ageMillis)
        val isNews =
            if (known == null) {
                // The end of a limit that this router does not know of changes nothing.
                report.callsPerSecond != null
            } else {
                // Ages leave out the time of the message, so the same statement seems a little later at each router.
                statedAt - known.statedAt >= MESSAGE_TIME
            }
        val statement = CallLimitStatement(report.callsPerSecond, statedAt)
        if (isNews && picker.callLimits.apply(state, statement, now)) {
            observer.onCallLimit(state.endpoint, report.callsPerSecond)
        }
    }

    private val CallLimitReport.isValid: Boolean
        get() = ageMillis >= 0 && (callsPerSecond == null || (callsPerSecond.isFinite() && callsPerSecond >= 0))

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofMillis(300)

        /** Longer than a message takes between two routers, and shorter than an endpoint's need is likely to last. */
        val MESSAGE_TIME: Duration = Duration.ofMillis(300)

        /** Bounds the work of one message; far above the endpoints of the largest deployment known. */
        const val MAX_REPORTS = 2_000
    }
}
