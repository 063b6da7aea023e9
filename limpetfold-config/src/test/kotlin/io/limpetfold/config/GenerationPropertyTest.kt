package io.limpetfold.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onSuccess
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration
import kotlin.random.Random

class GenerationPropertyTest :
    FunSpec({
        test(
            "guards against a reverted router, an overwritten publication and a router that stays on an old generation",
        ) {
            var accepted = 0
            var stale = 0
            for (seed in 1..SEEDS) {
                withClue("seed $seed") {
                    val fleet = Fleet(seed)
                    repeat(STEPS) { fleet.step() }
                    fleet.settle(isPlatformUp = seed % 2 == 0)
                    accepted += fleet.acceptedCount
                    stale += fleet.staleCount
                }
            }
            accepted shouldBeGreaterThan SEEDS
            stale shouldBeGreaterThan SEEDS
            println("generations accepted: $accepted, stale responses: $stale")
        }
    }) {
    /** Returns an older state for about a third of the watches, as a lagging replica of the platform does. */
    private class LaggingStore(
        private val store: FakeObjectStore,
        private val random: Random,
    ) : ObjectStore {
        private val earlierObjects = mutableListOf<StoredObject>()
        var isDown = false
        var isLagging = true
        var staleCount = 0

        override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> =
            if (isDown) Err(StoreError.Unavailable("outage")) else store.get(key)

        override suspend fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> =
            if (isDown) Err(StoreError.Unavailable("outage")) else store.put(key, value, expected)

        override suspend fun list(prefix: String): Result<ObjectPage, StoreError> = store.list(prefix)

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ): Result<ObjectPage, StoreError> {
            if (isDown) return Err(StoreError.Unavailable("outage"))
            if (!isStale()) return store.watch(prefix, after, wait).onSuccess { earlierObjects += it.objects }
            staleCount++
            val stale = earlierObjects.random(random)
            return Ok(ObjectPage(listOf(stale).toImmutableList(), stale.version))
        }

        private fun isStale() = isLagging && earlierObjects.isNotEmpty() && random.nextInt(3) == 0
    }

    private class Router(
        val watcher: ConfigWatcher,
        val acceptedGenerations: MutableList<Long>,
    )

    private class Fleet(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val clock = TestClock()
        private val store = FakeObjectStore()
        private val platform = LaggingStore(store, random)
        private val faultyStore =
            store.withFaults {
                when (random.nextInt(6)) {
                    0 -> StoreFault.RESPONSE_LOST
                    1 -> StoreFault.REQUEST_LOST
                    2 -> StoreFault.UNAVAILABLE
                    else -> StoreFault.NONE
                }
            }
        private val cutLinks = mutableSetOf<Set<InstanceId>>()
        private val hub =
            FakePeerHub { from, to -> if (setOf(from, to) in cutLinks) PeerFault.REQUEST_LOST else PeerFault.NONE }
        private val instances = List(3 + random.nextInt(4)) { InstanceId("r$it") }
        private val routers = mutableMapOf<InstanceId, Router>()
        private val contents = mutableMapOf<Long, String>()
        private var starts = 0L
        private var drafts = 0
        var acceptedCount = 0
        val staleCount get() = platform.staleCount

        init {
            instances.forEach(::start)
        }

        private fun start(instance: InstanceId) {
            val acceptedGenerations = mutableListOf<Long>()
            val listener =
                object : ConfigListener {
                    override fun onAccepted(
                        config: FleetConfig,
                        source: ConfigSource,
                    ) {
                        acceptedGenerations += config.generation
                        acceptedCount++
                        contents.getOrPut(config.generation) { config.contentHash() } shouldBe config.contentHash()
                    }
                }
            val network = hub.join(Incarnation(instance, ++starts))
            routers[instance] =
                Router(
                    ConfigWatcher(platform, network, clock.monotonic, random, listener = listener),
                    acceptedGenerations,
                )
        }

        suspend fun step() {
            val before =
                routers.mapValues {
                    it.value.watcher to (
                        it.value.watcher.current
                            ?.generation ?: 0
                    )
                }
            val instance = instances.random(random)
            val watcher = routers.getValue(instance).watcher
            when (random.nextInt(12)) {
                0 -> publishConcurrently()
                1 -> platform.isDown = !platform.isDown
                2 -> start(instance)
                3 -> cutLinks += setOf(instance, instances.random(random))
                4 -> cutLinks.clear()
                5 -> watcher.onPeerGeneration(instances.random(random), random.nextLong(10))
                6, 7 -> watcher.watch()
                else -> {
                    clock.advance(Duration.ofSeconds(random.nextLong(9)))
                    watcher.maintain()
                }
            }
            check(before)
        }

        private fun check(before: Map<InstanceId, Pair<ConfigWatcher, Long>>) {
            for ((instance, old) in before) {
                val now = routers.getValue(instance)
                if (now.watcher !== old.first) continue
                (now.watcher.current?.generation ?: 0) shouldBeGreaterThanOrEqualTo old.second
                now.acceptedGenerations shouldBe now.acceptedGenerations.sorted().distinct()
            }
        }

        /** Two operators publish different contents, both compared with the same generation. */
        private suspend fun publishConcurrently() {
            if (platform.isDown) return
            val publishers = List(2) { ConfigPublisher(faultyStore, clock) }
            val base = ConfigPublisher(store).read().get()?.generation ?: 0
            val results =
                publishers.mapIndexed { index, publisher ->
                    publisher.publish(sampleConfig(maxRouters = 1 + drafts++ % 900), base, "operator-$index")
                }
            val successes = results.mapNotNull { it.get() }
            successes.forEach { it.config.generation shouldBe base + 1 }
            successes.map { it.config.contentHash() }.distinct().size shouldBe successes.size.coerceAtMost(1)
            val conflicts = results.mapNotNull { it.getError() }.filterIsInstance<PublishError.GenerationConflict>()
            conflicts.forEach {
                it.expectedGeneration shouldBe base
                it.publishedAt shouldNotBe null
            }
        }

        /**
         * Checks that all routers reach the newest available generation once the platform or the peers are reachable
         * again.
         */
        suspend fun settle(isPlatformUp: Boolean) {
            platform.isDown = !isPlatformUp
            platform.isLagging = false
            cutLinks.clear()
            if (isPlatformUp) hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            val newest =
                if (isPlatformUp) {
                    ConfigPublisher(store).read().get()?.generation ?: 0
                } else {
                    routers.values.maxOf { it.watcher.current?.generation ?: 0 }
                }
            instances.randomOrNull(random)?.let { if (isPlatformUp) start(it) }
            repeat(ROUNDS) {
                clock.advance(Duration.ofSeconds(9))
                routers.values.forEach { it.watcher.maintain() }
            }
            routers.mapValues {
                it.value.watcher.current
                    ?.generation ?: 0
            } shouldBe instances.associateWith { newest }
        }
    }

    private companion object {
        const val SEEDS = 300
        const val STEPS = 80
        const val ROUNDS = 12
    }
}
