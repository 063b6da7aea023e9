package io.limpetfold.gateway.state

import com.github.michaelbull.result.get
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.membership.Member
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.ObjectVersion
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import java.time.Duration
import kotlin.random.Random

/**
 * Copies configuration and endpoint list between routers, so that a router that can't reach the store still gets
 * updates.
 *
 * Heartbeats carry the versions of each peer; only a peer with the newest version is asked.
 */
class PeerSync(
    private val peers: PeerNetwork,
    private val routing: RoutingTableReplica,
    private val directory: EndpointDirectory,
    private val directoryUpdater: EndpointDirectoryUpdater,
    private val clock: MonotonicClock,
    private val dispatcher: CoroutineDispatcher,
    private val random: Random = Random.Default,
    private val onVersionTold: (ObjectVersion) -> Unit,
) {
    /** The version that was in force when a newer one was last heard of; null before the first time. */
    private var awaitedFrom: Long? = null

    /** Registers the handlers of the topics; must be called before the peer network starts. */
    fun register() {
        peers.registerHandler(ROUTING_TOPIC) { _, request ->
            withContext(dispatcher) {
                routingReply(request)
            }
        }
        peers.registerHandler(ENDPOINTS_TOPIC) { _, request ->
            withContext(dispatcher) {
                val isNewer = directory.position > request.knownPosition
                EndpointsReply(directory.position, if (isNewer) directory.listed(clock.now()) else emptyList())
            }
        }
    }

    /**
     * Fetches the configuration from the member with the newest version, and the endpoint list too while the store does
     * not respond. Passes on the positions of the members, which may be of an era that this router has not seen.
     */
    suspend fun maintain(members: List<Member>) {
        members.forEach { onVersionTold(it.directoryPosition) }
        fetchRouting(members)
        if (!directoryUpdater.isStoreAvailable) fetchEndpoints(members)
    }

    private fun routingReply(request: RoutingRequest): RoutingReply {
        if ((routing.current?.version ?: 0) <= request.knownVersion) return RoutingReply(text = null)
        val compressed = if (request.acceptsCompressed) routing.compressedText else null
        return if (compressed == null) RoutingReply(routing.storedText) else RoutingReply(text = null, compressed)
    }

    /**
     * Fetches the newest configuration from a member that has it. While the store responds, a router waits a round for
     * the watch that brings it too; all routers of a large fleet would otherwise fetch it twice, from the same member.
     */
    private suspend fun fetchRouting(members: List<Member>) {
        val known = routing.current?.version ?: 0
        val newestVersion = members.maxOfOrNull { it.generation } ?: return
        if (newestVersion <= known) return
        val isExpected = routing.isStoreAvailable && awaitedFrom != known
        awaitedFrom = known
        if (isExpected) return
        val source = members.filter { it.generation == newestVersion }.random(random).instance
        val request = RoutingRequest(known, acceptsCompressed = true)
        val reply = peers.ask(source, ROUTING_TOPIC, request, PEER_TIMEOUT).get() ?: return
        (reply.compressedText?.text() ?: reply.text)?.let { routing.applyIfNewer(it, "peer $source") }
    }

    private suspend fun fetchEndpoints(members: List<Member>) {
        val newest = members.maxByOrNull { it.directoryPosition } ?: return
        if (newest.directoryPosition <= directory.position) return
        val reply =
            peers.ask(newest.instance, ENDPOINTS_TOPIC, EndpointsRequest(directory.position), PEER_TIMEOUT).get()
                ?: return
        directoryUpdater.applyIfNewer(reply.endpoints, reply.position, newest.instance.value)
    }

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofMillis(500)
    }
}
