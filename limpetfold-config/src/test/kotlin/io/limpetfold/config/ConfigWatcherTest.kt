package io.limpetfold.config

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import java.time.Duration

class ConfigWatcherTest :
    FunSpec({
        val clock = TestClock()
        val network = { FakePeerHub().join(Incarnation(InstanceId("r1"), 1)) }

        test("guards against a hand-edited generation that replaces a published one") {
            val store = FakeObjectStore()
            val refused = mutableListOf<String>()
            val listener =
                object : ConfigListener {
                    override fun onRefused(
                        generation: Long,
                        source: ConfigSource,
                        problems: List<ConfigProblem>,
                    ) {
                        refused += "$generation from $source: ${problems.joinToString { it.path }}"
                    }
                }
            val watcher = ConfigWatcher(store, network(), clock.monotonic, listener = listener)
            val publishedConfig = ConfigPublisher(store, clock).publish(sampleConfig(), 0, "ana").get()?.config
            watcher.watch()
            val edited = publishedConfig?.copy(generation = 2, maxRouters = 0)
            store.put(
                FleetConfig.KEY,
                TypedObject.JSON.encodeToString(FleetConfig.serializer(), edited!!),
                ObjectVersion.of(1),
            )
            watcher.watch()
            store.put(FleetConfig.KEY, "no json", ObjectVersion.of(2))
            watcher.watch()

            watcher.current shouldBe publishedConfig
            refused shouldBe listOf("2 from WATCH: maxRouters, publication.contentHash")
        }

        test("guards against a router that reads no generation any more after a restore of the store") {
            val store = FakeObjectStore()
            val copy = store.copy()
            val watcher = ConfigWatcher(EraCheckedStore(store), network(), clock.monotonic)
            ConfigPublisher(store, clock).publish(sampleConfig(), 0, "ana").get()
            watcher.watch()
            store.restore(copy)
            ConfigPublisher(store, clock).publish(sampleConfig(), 0, "ben", highestReportedGeneration = 1).get()
            repeat(3) { watcher.watch() }

            watcher.current?.generation shouldBe 2
        }

        test("guards against more than one poll of the platform per 5 s") {
            val store = FakeObjectStore()
            val watcher = ConfigWatcher(store, network(), clock.monotonic)
            repeat(600) {
                watcher.maintain()
                clock.advance(Duration.ofMillis(100))
            }

            (store.callCount in 8..12) shouldBe true
        }
    })
