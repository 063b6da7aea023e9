package io.limpetfold.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
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
 * Holds the newest generation that a router has seen, and serves it to peers.
 *
 * Only a higher generation whose content is valid is accepted, wherever it comes from, so a stale answer never takes a router back.
 * Safe for concurrent use.
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

    /** The largest version of the stored object that was looked at, accepted or not. */
    private val seenVersion = AtomicReference(ObjectVersion.NONE)

    /** The generation in force in this router, or null before the first one arrived. */
    val current: FleetConfig? get() = accepted.get()

    init {
        peers.registerHandler(ConfigTopics.FETCH) { _, message ->
            val config = current
            ConfigTopics.Fetched(
                generation = config?.generation ?: 0,
                config = config?.takeIf { it.generation > message.knownGeneration },
            )
        }
    }

    /** Notes the generation that a heartbeat of [peer] carried; the next [maintain] fetches it if it is newer. */
    fun onPeerGeneration(
        peer: InstanceId,
        generation: Long,
    ) {
        if (generation > generation()) announced[peer] = generation
    }

    /**
     * Fetches announced generations, polls the platform when a poll is due, and asks peers when the platform gives no answer.
     *
     * Call it at least once a second.
     */
    suspend fun maintain() {
        fetchAnnounced()
        if (nextPoll?.hasPassedNow() == false) return
        nextPoll = time.markNow() + nextPollDelay()
        val isAnswered = read(ConfigSource.POLL, Duration.ZERO)
        if (!isAnswered || current == null) askPeers()
    }

    /**
     * Waits up to [ConfigPolicy.watchWait] for a new generation; returns whether the platform answered.
     *
     * The program repeats it in a loop of its own and pauses after a false.
     */
    suspend fun watch(): Boolean = read(ConfigSource.WATCH, policy.watchWait)

    /**
     * Reads the stored object if it is newer than the last one that was looked at; returns whether the platform answered.
     *
     * An unconditional read would move the whole configuration every few seconds, in each router.
     */
    private suspend fun read(
        source: ConfigSource,
        wait: Duration,
    ): Boolean =
        store.watch(FleetConfig.KEY.path, seenVersion.get(), wait).fold(
            success = { page ->
                page.objects.filter { it.key == FleetConfig.KEY }.forEach { take(it, source) }
                true
            },
            failure = {
                LOG.info("config: no answer from the platform generation={} reason=\"{}\"", generation(), it.message)
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
        val message = ConfigTopics.Fetch(generation())
        val reply = peers.ask(peer, ConfigTopics.FETCH, message, policy.peerTimeout).get() ?: return
        reply.config?.let { take(it, ConfigSource.PEER) }
    }

    private fun take(
        stored: StoredObject,
        source: ConfigSource,
    ) {
        seenVersion.updateAndGet { maxOf(it, stored.version) }
        val config =
            try {
                TypedObject.JSON.decodeFromString(FleetConfig.serializer(), stored.value)
            } catch (e: SerializationException) {
                LOG.warn("config: the stored generation does not decode version={} reason={}", stored.version, e.javaClass.simpleName)
                return
            }
        take(config, source)
    }

    private fun take(
        config: FleetConfig,
        source: ConfigSource,
    ) {
        if (config.generation <= generation()) return
        val problems = config.problems() + integrityProblems(config)
        if (problems.isNotEmpty()) {
            LOG.warn("config: generation refused generation={} source={} problem={}", config.generation, source, problems.first())
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
        random.nextLong(policy.pollMin.toMillis(), policy.pollMax.toMillis() + 1).milliseconds

    private companion object {
        val LOG = LoggerFactory.getLogger(ConfigWatcher::class.java)
    }
}
