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
        test("guards against a second generation when a write whose response was lost is retried") {
            val store = FakeObjectStore()
            var responsesToLose = 1
            val lossyStore =
                store.withFaults {
                    if (it is StoreCall.Put &&
                        responsesToLose-- > 0
                    ) {
                        StoreFault.RESPONSE_LOST
                    } else {
                        StoreFault.NONE
                    }
                }

            val result = ConfigPublisher(lossyStore).publish(sampleConfig(), 0, "ana").get()

            result?.config?.generation shouldBe 1
            result?.isChanged shouldBe true
            store.writeCount shouldBe 1
        }

        test("guards against a generation conflict that does not name the author and time of the other publication") {
            val clock = TestClock()
            val publisher = ConfigPublisher(FakeObjectStore(), clock)
            publisher.publish(sampleConfig(8), 0, "ana")
            clock.advance(Duration.ofSeconds(5))

            val error = publisher.publish(sampleConfig(9), 0, "bojan").getError()

            error shouldBe PublishError.GenerationConflict(0, 1, "ana", clock.instant().minusSeconds(5))
        }

        test("guards against a new generation when only the order of the content changed") {
            val store = FakeObjectStore()
            val config = sampleConfig()
            val other = ServiceConfig("termini", ServiceKind.PLAIN, versions = config.services[0].versions)
            val twoServices = config.copy(services = (config.services + other).toImmutableList())
            val publisher = ConfigPublisher(store)
            publisher.publish(twoServices, 0, "ana")

            val again =
                publisher
                    .publish(
                        twoServices.copy(services = twoServices.services.reversed().toImmutableList()),
                        1,
                        "ana",
                    ).get()

            again?.isChanged shouldBe false
            store.writeCount shouldBe 1
        }

        test("guards against a check that stops at the first problem") {
            val config = sampleConfig(maxRouters = 0)
            val service = config.services[0]
            val invalid =
                config.copy(
                    services = persistentListOf(service.copy(versions = persistentListOf()), service),
                    routes =
                        persistentListOf(
                            config.routes[0].copy(activeVersion = VersionId("9")),
                            config.routes[0].copy(service = "nobody", idleTimeout = Duration.ZERO),
                        ),
                )

            val error = ConfigPublisher(FakeObjectStore()).publish(invalid, 0, "ana").getError()

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
