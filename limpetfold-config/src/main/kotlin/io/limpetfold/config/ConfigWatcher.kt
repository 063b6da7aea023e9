package io.limpetfold.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Keeps the newest valid generation that a router has received, and serves it to peers.
 *
 * A store that is restored from an older copy has an older generation; routers keep and pass on the newer one, and the
 * next publication exceeds it.
 *
 * Whatever the source, only a higher generation with valid content is accepted, so a stale response never reverts a
 * router to an older generation. Safe for concurrent use.
 */
class ConfigWatcher(
    private val store: ObjectStore,
    private val peers: PeerNetwork,
    private val time: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default,
    private val policy: ConfigPolicy = ConfigPolicy(),
    private val listener: ConfigListener = ConfigListener.NONE,
) {
    private val accepted = AtomicReference<FleetConfig?>()
    private val announced = ConcurrentHashMap<InstanceId, Long>()

    @Volatile private var nextPoll: TimeMark? = null

    /** The highest version of the stored object that was read, whether or not its content was accepted. */
    private val highestReadVersion = AtomicReference(ObjectVersion.NONE)

    /** The active generation of this router, or null before the first one was accepted. */
    val current: FleetConfig? get() = accepted.get()

    init {
        peers.registerHandler(ConfigTopics.FETCH) { _, message ->
            val config = current
            ConfigTopics.FetchResponse(
                generation = config?.generation ?: 0,
                config = config?.takeIf { it.generation > message.knownGeneration },
            )
        }
    }

    /** Records the generation that a heartbeat of [peer] announced; the next [maintain] fetches it if it is newer. */
    fun onPeerGeneration(
        peer: InstanceId,
        generation: Long,
    ) {
        if (generation > generation()) announced[peer] = generation
    }

    /**
     * Fetches announced generations, polls the platform when a poll is due, and asks peers when the platform does not
     * respond.
     *
     * Call it at least once a second.
     */
    suspend fun maintain() {
        fetchAnnounced()
        if (nextPoll?.hasPassedNow() == false) return
        nextPoll = time.markNow() + nextPollDelay()
        val hasResponded = read(ConfigSource.POLL, Duration.ZERO)
        if (!hasResponded || current == null) askPeers()
    }

    /**
     * Waits up to [ConfigPolicy.watchWait] for a new generation; returns whether the platform responded.
     *
     * Call it in a loop of its own, with a pause after each false.
     */
    suspend fun watch(): Boolean = read(ConfigSource.WATCH, policy.watchWait)

    /**
     * Reads the stored object if its version is higher than [highestReadVersion]; returns whether the platform
     * responded.
     *
     * An unconditional read would transfer the whole configuration to each router every few seconds.
     */
    private suspend fun read(
        source: ConfigSource,
        wait: Duration,
    ): Boolean =
        store.watch(FleetConfig.KEY.path, highestReadVersion.get(), wait).fold(
            success = { page ->
                page.objects.filter { it.key == FleetConfig.KEY }.forEach { acceptStored(it, source) }
                true
            },
            failure = {
                // After a restore of the store, its versions are in a new era. Only a read from the beginning shows them.
                if (it is StoreError.HistoryExpired) highestReadVersion.set(ObjectVersion.NONE)
                LOG.info("config: read from the platform failed generation={} reason=\"{}\"", generation(), it.message)
                false
            },
        )

    private suspend fun fetchAnnounced() {
        val newer = announced.entries.filter { it.value > generation() }.maxByOrNull { it.value }
        announced.clear()
        if (newer != null) fetch(newer.key)
    }

    private suspend fun askPeers() =
        coroutineScope {
            peers
                .connectedPeers()
                .shuffled(random)
                .take(policy.maxPeersAsked)
                .map { async { fetch(it) } }
                .awaitAll()
        }

    private suspend fun fetch(peer: InstanceId) {
        val message = ConfigTopics.FetchRequest(generation())
        val reply = peers.ask(peer, ConfigTopics.FETCH, message, policy.peerTimeout).get() ?: return
        reply.config?.let { acceptIfNewer(it, ConfigSource.PEER) }
    }

    private fun acceptStored(
        stored: StoredObject,
        source: ConfigSource,
    ) {
        highestReadVersion.updateAndGet { maxOf(it, stored.version) }
        val config =
            try {
                TypedObject.JSON.decodeFromString(FleetConfig.serializer(), stored.value)
            } catch (e: SerializationException) {
                LOG.warn(
                    "config: failed to decode the stored generation version={} reason={}",
                    stored.version,
                    e.javaClass.simpleName,
                )
                return
            }
        acceptIfNewer(config, source)
    }

    private fun acceptIfNewer(
        config: FleetConfig,
        source: ConfigSource,
    ) {
        if (config.generation <= generation()) return
        val problems = config.problems() + integrityProblems(config)
        if (problems.isNotEmpty()) {
            LOG.warn(
                "config: generation refused generation={} source={} problem={}",
                config.generation,
                source,
                problems.first(),
            )
            listener.onRefused(config.generation, source, problems)
            return
        }
        val before = accepted.getAndUpdate { if (it == null || config.generation > it.generation) config else it }
        if (before != null && before.generation >= config.generation) return
        LOG.info("config: generation accepted generation={} source={}", config.generation, source)
        listener.onAccepted(config, source)
    }

    private fun integrityProblems(config: FleetConfig): List<ConfigProblem> {
        if (config.publication?.contentHash == config.contentHash()) return emptyList()
        val remedy = "publish it with limpetfold-publish instead of writing the object by hand"
        return listOf(ConfigProblem("publication.contentHash", "does not match the content", remedy))
    }

    private fun generation(): Long = current?.generation ?: 0

    private fun nextPollDelay() =
        random.nextLong(policy.minPollInterval.toMillis(), policy.maxPollInterval.toMillis() + 1).milliseconds

    private companion object {
        val LOG = LoggerFactory.getLogger(ConfigWatcher::class.java)
    }
}
