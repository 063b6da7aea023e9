package io.limpetfold.replication

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import java.time.Duration
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * A store whose watches are answered by other routers where possible, so that few routers of a large fleet watch the
 * store itself.
 *
 * Positions are those of the store, so a watch continues at the store from the same position when no relay has a
 * current state. All other calls go to the store. All calls must be made on [dispatcher]. Requests and replies of other
 * routers tell [store] of eras that it has not seen.
 *
 * @param dispatcher the single thread of the router's decisions, on which requests of peers are handled too.
 */
class RelayedObjectStore(
    private val store: EraCheckedStore,
    private val peers: PeerNetwork,
    private val relaySelector: RelaySelector,
    private val dispatcher: CoroutineDispatcher,
    private val policy: RelayPolicy = RelayPolicy(),
    private val listener: WatchSourceListener = WatchSourceListener.NONE,
    timeSource: TimeSource = TimeSource.Monotonic,
) : ObjectStore by store {
    private val start = timeSource.markNow()
    private val replicas = HashMap<String, ObjectReplica>()
    private val suspendedUntil = HashMap<InstanceId, Duration>()

    /** Registers the handler of watches that peers send; call it before the network starts. */
    fun register() =
        peers.registerHandler(RELAY_TOPIC) { _, request -> withContext(dispatcher) { handleRequest(request) } }

    override suspend fun list(prefix: String): Result<ObjectPage, StoreError> {
        val replica = replicaOf(prefix)
        return store
            .list(prefix)
            .onSuccess { replica.onListed(it, now() + policy.freshnessMargin) }
            .onFailure { replica.onStoreFailed() }
    }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError> {
        val replica = replicaOf(prefix)
        val end = now() + wait
        if (!isServing(replica) &&
            after.era >= store.era
        ) {
            watchRelays(prefix, after, end, replica)?.let { return Ok(it) }
        }
        // What the relays took of the wait counts, so that the watch ends in time when a relay stopped responding.
        val remaining = maxOf(end - now(), Duration.ZERO)
        return store
            .watch(prefix, after, remaining)
            .onSuccess {
                replica.onChanged(after, it, now() + wait + policy.freshnessMargin)
                onSource(prefix, replica, relay = null)
            }.onFailure { replica.onStoreFailed() }
    }

    /** Whether a peer relies on this router, which then watches the store even if it could ask a relay. */
    private fun isServing(replica: ObjectReplica): Boolean =
        replica.askedAt.let { it != null && now() - it < policy.servingTime }

    /**
     * Asks relays in turn; null when none of them has a current state.
     *
     * All of them together have until [end], so that a second relay that stopped too does not delay a change
     * further.
     */
    private suspend fun watchRelays(
        prefix: String,
        after: ObjectVersion,
        end: Duration,
        replica: ObjectReplica,
    ): ObjectPage? {
        for (relay in availableRelays()) {
            val remaining = end - now()
            if (remaining <= Duration.ZERO) return null
            val request = RelayRequest(prefix, after, remaining.toMillis(), acceptsCompressed = true)
            val reply = peers.ask(relay, RELAY_TOPIC, request, remaining + policy.responseMargin).get()
            reply?.position?.let(store::onVersionTold)
            val outcome = reply?.outcomeFor(after)
            if (outcome == RelayOutcome.HISTORY_EXPIRED) return null
            val page = if (outcome == RelayOutcome.CHANGES) reply.toPage() else null
            if (page != null) {
                replica.onChanged(after, page, currentUntil = null)
                onSource(prefix, replica, relay)
                return page
            }
            suspend(relay)
        }
        return null
    }

    private fun availableRelays(): List<InstanceId> =
        relaySelector
            .relays()
            .filter { relay -> suspendedUntil[relay].let { it == null || it <= now() } }
            .take(policy.relaysPerWatch)

    private fun onSource(
        prefix: String,
        replica: ObjectReplica,
        relay: InstanceId?,
    ) {
        if (replica.relay == relay) return
        replica.relay = relay
        listener.onSourceChanged(prefix, relay)
    }

    private fun suspend(relay: InstanceId) {
        suspendedUntil.values.removeIf { it <= now() }
        suspendedUntil[relay] = now() + policy.suspension
    }

    private suspend fun handleRequest(request: RelayRequest): RelayReply {
        store.onVersionTold(request.after)
        val replica = replicas[request.prefix] ?: return RelayReply(RelayOutcome.NOT_CURRENT)
        replica.askedAt = now()
        val maxWait = Duration.ofMillis(request.waitMillis.coerceIn(0, MAX_WAIT_MILLIS))
        return replica.awaitChanges(request.after, maxWait, request.acceptsCompressed, store::era, ::now)
    }

    private fun replicaOf(prefix: String) = replicas.getOrPut(prefix) { ObjectReplica() }

    private fun now(): Duration = start.elapsedNow().toJavaDuration()

    private companion object {
        /** A longer wait of a peer would hold an ask of its connection for too long. */
        const val MAX_WAIT_MILLIS = 15_000L
    }
}
