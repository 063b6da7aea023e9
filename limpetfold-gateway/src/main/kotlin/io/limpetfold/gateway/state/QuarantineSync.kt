package io.limpetfold.gateway.state

import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.quarantine.QuarantineReport
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.time.Duration

/**
 * Exchanges the reports of the [quarantine] between routers.
 *
 * A router with news sends its report to all members, which respond with theirs. It also sends it to members that it has
 * not reached yet, so that a router that has just started, or was cut off, learns what the others know. A router without
 * evidence sends nothing.
 */
internal class QuarantineSync(
    private val quarantine: PromptPartQuarantine,
    private val record: QuarantineRecord,
    private val peers: PeerNetwork,
    private val clock: MonotonicClock,
    private val dispatcher: CoroutineDispatcher,
) {
    private var sentNews = news()
    private var reached: Set<InstanceId> = emptySet()

    /** Registers the handler of the topic; must be called before the peer network starts. */
    fun register() {
        peers.registerHandler(QUARANTINE_TOPIC) { _, report ->
            withContext(dispatcher) {
                merge(report)
                report()
            }
        }
    }

    /** Sends the report to all [members] if it has changed, else to those that it has not reached. */
    suspend fun maintain(members: List<Member>) {
        val news = news()
        if (!quarantine.hasEvidence && news == sentNews) return
        val instances = members.mapTo(mutableSetOf()) { it.instance }
        if (news != sentNews) reached = emptySet()
        sentNews = news
        reached = instances.intersect(reached)
        reached = reached + exchangeWith(instances - reached)
    }

    /** Exchanges reports with [instances]; returns those that responded. */
    private suspend fun exchangeWith(instances: Set<InstanceId>): Set<InstanceId> {
        if (instances.isEmpty()) return emptySet()
        val report = report()
        return coroutineScope {
            instances.map { async { it to peers.ask(it, QUARANTINE_TOPIC, report, PEER_TIMEOUT).get() } }.awaitAll()
        }.mapNotNull { (instance, reply) ->
            reply?.let {
                merge(it)
                instance
            }
        }.toSet()
    }

    private fun news() = quarantine.revision to record.toldVersion

    private fun report() =
        quarantine.report(clock.now()).copy(stored = record.known(), storedVersion = record.knownVersion)

    private fun merge(report: QuarantineReport) {
        quarantine.merge(report, clock.now())
        report.stored?.let { record.onReported(report.storedVersion, it) }
    }

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
