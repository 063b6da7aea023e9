package io.limpetfold.config

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.VersionId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

class ConfigPublisherTest :
    FunSpec({
        test("guards against a generation written twice after its answer was lost") {
            val store = FakeObjectStore()
            var losses = 1
            val lossy =
                store.withFaults { if (it is StoreCall.Put && losses-- > 0) StoreFault.ANSWER_LOST else StoreFault.NONE }

            val published = ConfigPublisher(lossy).publish(sampleConfig(), 0, "ana").get()

            published?.config?.generation shouldBe 1
            published?.isChanged shouldBe true
            store.writeCount shouldBe 1
        }

        test("guards against a loser who is not told who won and when") {
            val clock = TestClock()
            val publisher = ConfigPublisher(FakeObjectStore(), clock)
            publisher.publish(sampleConfig(8), 0, "ana")
            clock.advance(Duration.ofSeconds(5))

            val error = publisher.publish(sampleConfig(9), 0, "bojan").getError()

            error shouldBe PublishError.GenerationConflict(0, 1, "ana", clock.instant().minusSeconds(5))
        }

        test("guards against a new generation for the same content in another order") {
            val store = FakeObjectStore()
            val config = sampleConfig()
            val other = ServiceConfig("termini", ServiceKind.PLAIN, versions = config.services[0].versions)
            val wide = config.copy(services = (config.services + other).toImmutableList())
            val publisher = ConfigPublisher(store)
            publisher.publish(wide, 0, "ana")

            val again = publisher.publish(wide.copy(services = wide.services.reversed().toImmutableList()), 1, "ana").get()

            again?.isChanged shouldBe false
            store.writeCount shouldBe 1
        }

        test("guards against faults reported one at a time") {
            val config = sampleConfig(maxRouters = 0)
            val service = config.services[0]
            val twice =
                config.copy(
                    services = persistentListOf(service.copy(versions = persistentListOf()), service),
                    routes =
                        persistentListOf(
                            config.routes[0].copy(activeVersion = VersionId("9")),
                            config.routes[0].copy(service = "nobody", idleTimeout = Duration.ZERO),
                        ),
                )

            val error = ConfigPublisher(FakeObjectStore()).publish(twice, 0, "ana").getError()

            error.shouldBeInstanceOf<PublishError.Invalid>().problems.map { it.path } shouldContainExactlyInAnyOrder
                listOf(
                    "maxRouters",
                    "services[1].name",
                    "services[0].versions",
                    "routes[0].activeVersion",
                    "routes[1].idleTimeout",
                    "routes[1].route",
                    "routes[1].pathPrefix",
                    "routes[1].service",
                )
        }
    })
