package io.limpetfold.gateway.state

import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.quarantine.PromptPartQuarantine
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
    private val peers: PeerNetwork,
    private val clock: MonotonicClock,
    private val dispatcher: CoroutineDispatcher,
) {
    private var sentRevision = quarantine.revision
    private var reached: Set<InstanceId> = emptySet()

    /** Registers the handler of the topic; must be called before the peer network starts. */
    fun register() {
        peers.registerHandler(QUARANTINE_TOPIC) { _, report ->
            withContext(dispatcher) {
                quarantine.merge(report, clock.now())
                quarantine.report(clock.now())
            }
        }
    }

    /** Sends the report to all [members] if it has changed, else to those that it has not reached. */
    suspend fun maintain(members: List<Member>) {
        if (!quarantine.hasEvidence) return
        val instances = members.mapTo(mutableSetOf()) { it.instance }
        val revision = quarantine.revision
        if (revision != sentRevision) reached = emptySet()
        sentRevision = revision
        reached = instances.intersect(reached)
        reached = reached + exchangeWith(instances - reached)
    }

    /** Exchanges reports with [instances]; returns those that responded. */
    private suspend fun exchangeWith(instances: Set<InstanceId>): Set<InstanceId> {
        if (instances.isEmpty()) return emptySet()
        val report = quarantine.report(clock.now())
        return coroutineScope {
            instances.map { async { it to peers.ask(it, QUARANTINE_TOPIC, report, PEER_TIMEOUT).get() } }.awaitAll()
        }.mapNotNull { (instance, reply) ->
            reply?.let {
                quarantine.merge(it, clock.now())
                instance
            }
        }.toSet()
    }

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
