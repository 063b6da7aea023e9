package io.limpetfold.gateway.state

import com.github.michaelbull.result.get
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import java.time.Duration

/**
 * Passes configuration and endpoint list on among routers, so that one that the store does not serve still learns them.
 *
 * Heartbeats tell which peer has a newer state; only that peer is asked.
 */
class PeerSync(
    private val peers: PeerNetwork,
    private val routing: RoutingTableReplica,
    private val directory: EndpointDirectory,
    private val directoryUpdater: EndpointDirectoryUpdater,
    private val clock: MonotonicClock,
    private val dispatcher: CoroutineDispatcher,
) {
    /** Registers the topics; call it before the network starts. */
    fun register() {
        peers.registerHandler(ROUTING_TOPIC) { _, request ->
            withContext(dispatcher) {
                RoutingReply(routing.text.takeIf { (routing.current?.version ?: 0) > request.knownVersion })
            }
        }
        peers.registerHandler(ENDPOINTS_TOPIC) { _, request ->
            withContext(dispatcher) {
                val isNewer = directory.position > request.knownPosition
                EndpointsReply(directory.position, if (isNewer) directory.all(clock.now()) else emptyList())
            }
        }
    }

    /** Fetches what [members] are ahead of this router. */
    suspend fun maintain(members: List<Member>) {
        fetchRouting(members)
        if (!directoryUpdater.isStoreAnswering) fetchEndpoints(members)
    }

    private suspend fun fetchRouting(members: List<Member>) {
        val known = routing.current?.version ?: 0
        val newest = members.maxByOrNull { it.generation } ?: return
        if (newest.generation <= known) return
        val reply = peers.ask(newest.instance, ROUTING_TOPIC, RoutingRequest(known), TIMEOUT).get()
        reply?.text?.let { routing.offer(it, "peer ${newest.instance}") }
    }

    private suspend fun fetchEndpoints(members: List<Member>) {
        val newest = members.maxByOrNull { it.directoryPosition } ?: return
        if (newest.directoryPosition <= directory.position) return
        val reply = peers.ask(newest.instance, ENDPOINTS_TOPIC, EndpointsRequest(directory.position), TIMEOUT).get() ?: return
        directoryUpdater.offer(reply.endpoints, reply.position, newest.instance.value)
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofMillis(500)
    }
}
