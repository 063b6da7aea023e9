package io.limpetfold.replication

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.SeededScheduler
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.time.Duration
import kotlin.random.Random

/**
 * Routers in zones that follow one prefix of a store, each through a [RelayedObjectStore], in virtual time.
 *
 * @param linkMbps how fast each router sends replies, one after the other; null for no limit.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class RelayFleet(
    seed: Int,
    routerCount: Int,
    zoneCount: Int,
    private val linkMbps: Double? = null,
) {
    val random = Random(seed)
    val store = WatchingStore()
    private val clock = TestClock()
    private val scheduler = SeededScheduler(random, clock)
    private val hub =
        FakePeerHub {
            from,
            to,
            ->
            if (isPartitioned(from, to)) PeerFault.REQUEST_LOST else PeerFault.NONE
        }
    val routers = (0 until routerCount).map { Router(InstanceId("10.0.0.$it"), "z${it % zoneCount}") }
    private val network = CoroutineScope(SupervisorJob() + scheduler.RouterDispatcher())
    private val linkFreeAtMillis = HashMap<InstanceId, Long>()
    var nowMillis = 0L
        private set

    fun advance(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            scheduler.advance(STEP_MILLIS)
            nowMillis += STEP_MILLIS
            while (scheduler.step()) Unit
        }
    }

    private fun isPartitioned(
        from: InstanceId,
        to: InstanceId,
    ) = routers.any { (it.id == from || it.id == to) && it.isCutFromPeers }

    inner class Router(
        val id: InstanceId,
        private val zone: String,
    ) {
        private var isCutFromStore = false
        var isCutFromPeers = false
            private set
        val seen = LinkedHashMap<ObjectKey, String>()
        private var incarnation = 0L
        private var currentEra: () -> Long = { 0 }

        /** Whether replies of this router are still on their way. */
        val isLinkBusy: Boolean get() = (linkFreeAtMillis[id] ?: 0) > nowMillis

        /** The latest era of the store that this router knows. */
        val era: Long get() = currentEra()
        private val dispatcher = scheduler.RouterDispatcher()
        private var scope = CoroutineScope(SupervisorJob() + dispatcher)

        fun start() {
            scope = CoroutineScope(SupervisorJob() + dispatcher)
            seen.clear()
            val peers = TimedPeers(hub.join(Incarnation(id, ++incarnation)))
            val checkedStore = EraCheckedStore(store.View { isCutFromStore }, timeSource = clock.monotonic)
            currentEra = checkedStore::era
            val relayed =
                RelayedObjectStore(
                    checkedStore,
                    peers,
                    ::relays,
                    dispatcher,
                    timeSource = clock.monotonic,
                )
            relayed.register()
            scope.launch { follow(relayed) }
        }

        /** Kills the process; the returned action starts it again. */
        fun kill(): () -> Unit {
            hub.disconnect(id)
            scope.cancel()
            return ::start
        }

        /** Pauses the process; the returned action continues it. */
        fun freeze(): () -> Unit {
            dispatcher.isPaused = true
            return { dispatcher.isPaused = false }
        }

        /** Loses all bytes from and to the store; the returned action ends that. */
        fun cutFromStore(): () -> Unit {
            isCutFromStore = true
            return { isCutFromStore = false }
        }

        /** Loses all messages from and to other routers; the returned action ends that. */
        fun cutFromPeers(): () -> Unit {
            isCutFromPeers = true
            return { isCutFromPeers = false }
        }

        fun relays(): List<InstanceId> {
            val ofZone = RendezvousHash.rank(zone, routers.filter { it.zone == zone }) { it.id.value }.map { it.id }
            return ofZone.takeWhile { it != id }.filter { !isPartitioned(id, it) }
        }

        private suspend fun follow(relayed: RelayedObjectStore) {
            var position: ObjectVersion? = null
            while (true) {
                val from = position
                val result =
                    if (from == null) relayed.list(PREFIX) else relayed.watch(PREFIX, from, Duration.ofSeconds(1))
                result.fold(
                    success = {
                        if (from == null) seen.clear()
                        apply(it)
                        position = maxOf(from ?: ObjectVersion.NONE, it.position)
                        val hasChanges = it.objects.isNotEmpty() || it.removed.isNotEmpty()
                        delay(if (hasChanges) PAUSE_MILLIS else MIN_PAUSE_MILLIS)
                    },
                    failure = {
                        if (it is StoreError.HistoryExpired) position = null
                        delay(RETRY_MILLIS)
                    },
                )
            }
        }

        private fun apply(page: ObjectPage) {
            page.objects.forEach { seen[it.key] = it.value }
            page.removed.forEach { seen.remove(it) }
        }
    }

    /**
     * Ends each ask after its timeout, as a real network does when the receiver is frozen or killed. The message is
     * handled in a scope of the network, because a cancelled ask would wait for a frozen receiver.
     */
    private inner class TimedPeers(
        private val delegate: PeerNetwork,
    ) : PeerNetwork by delegate {
        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            val reply =
                network.async {
                    delay(MESSAGE_MILLIS)
                    delegate
                        .ask(to, topic, message, timeout)
                        .onSuccess { delay(transferMillis(to, Cbor.encodeToByteArray(topic.replySerializer, it).size)) }
                }
            return withTimeoutOrNull(timeout.toMillis()) { reply.await() } ?: Err(PeerError.Timeout(to, timeout))
        }
    }

    /** How long a reply of [bytes] from [sender] takes, behind those that it began to send before. */
    private fun transferMillis(
        sender: InstanceId,
        bytes: Int,
    ): Long {
        if (linkMbps == null) return 0
        val end = maxOf(linkFreeAtMillis[sender] ?: 0, nowMillis) + (bytes * BITS_PER_BYTE / linkMbps).toLong()
        linkFreeAtMillis[sender] = end
        return end - nowMillis
    }

    companion object {
        private const val BITS_PER_BYTE = 8 / 1_000.0
        const val PREFIX = "servers/"
        const val STEP_MILLIS = 5L
        private const val MESSAGE_MILLIS = 2L
        private const val PAUSE_MILLIS = 250L
        private const val MIN_PAUSE_MILLIS = 20L
        private const val RETRY_MILLIS = 200L
    }
}
