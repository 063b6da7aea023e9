package io.limpetfold.claim

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.request.Ran
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

class ClaimRegistryTest :
    FunSpec({
        val clock = TestClock()

        fun registry(
            store: FakeObjectStore,
            name: String,
            policy: ClaimPolicy = ClaimPolicy(),
        ) = ClaimRegistry(Incarnation(InstanceId(name), 1_764_828_000_000), store, clock, clock.monotonic, policy)

        suspend fun ClaimRegistry.claim(key: String) =
            claim(WorkspaceId("w"), RouteId("r"), key, RequestId("q"), Duration.ofSeconds(10))

        test("a duplicate call gets the recorded response from any router, without a body above the size limit") {
            val store = FakeObjectStore()
            val first = (registry(store, "a").claim("k").get() as ClaimDecision.Granted).claim
            first.tryMarkForwarded() shouldBe true
            first.tryMarkForwarded() shouldBe false
            registry(store, "b").claim("k").get().shouldBeInstanceOf<ClaimDecision.Unfinished>()
            registry(store, "a").complete(first, RecordedResponse(201, body = "{}")).isOk shouldBe true
            registry(store, "b").claim("k").get() shouldBe ClaimDecision.Finished(RecordedResponse(201, body = "{}"))

            val other = (registry(store, "a").claim("long").get() as ClaimDecision.Granted).claim
            other.tryMarkForwarded()
            registry(store, "a").complete(other, RecordedResponse(200, body = "x".repeat(5_000)))
            registry(store, "b").claim("long").get() shouldBe ClaimDecision.Finished(RecordedResponse(200))
        }

        test("after an unconfirmed claim another router grants the key only once the disowned claim is removed") {
            val store = FakeObjectStore()
            var isLossy = true
            val lossy =
                store.withFaults { call ->
                    when {
                        !isLossy -> StoreFault.NONE
                        call is StoreCall.Put -> StoreFault.RESPONSE_LOST.also { isLossy = true }
                        store.writeCount > 0 -> StoreFault.UNAVAILABLE
                        else -> StoreFault.NONE
                    }
                }
            val router = registry(lossy, "a")
            val error = router.claim("k").getError()
            error.shouldBeInstanceOf<ClaimError.OutcomeUnknown>()
            error.toRefusal().ran shouldBe Ran.NO
            isLossy = false
            registry(store, "b").claim("k").get().shouldBeInstanceOf<ClaimDecision.Unfinished>()
            router.maintain()
            registry(store, "b").claim("k").get().shouldBeInstanceOf<ClaimDecision.Granted>()
        }

        test("guards against a body that is not stored unnoticed: its duplicates get the status only") {
            val store = FakeObjectStore()
            val failures = mutableListOf<StoreError>()
            val listener =
                object : ClaimListener {
                    override fun onBodyNotStored(
                        shard: Int,
                        error: StoreError,
                    ) {
                        failures += error
                    }
                }
            val faulty =
                store.withFaults {
                    val isBody = it is StoreCall.Put && it.key.path.startsWith("claim-body/")
                    if (isBody) StoreFault.UNAVAILABLE else StoreFault.NONE
                }
            val self = Incarnation(InstanceId("a"), 1)
            val router = ClaimRegistry(self, faulty, clock, clock.monotonic, listener = listener)
            val claim = (router.claim("k").get() as ClaimDecision.Granted).claim
            claim.tryMarkForwarded() shouldBe true
            router.complete(claim, RecordedResponse(201, body = "{}")).isOk shouldBe true
            failures.size shouldBe 1
            registry(store, "b").claim("k").get() shouldBe ClaimDecision.Finished(RecordedResponse(201))
        }

        test("guards against a claim that an expired one of its key replaces after a restore of the store") {
            val store = FakeObjectStore()
            val names = listOf("a", "b").map { InstanceId(it) }.toSet()
            val (a, b) =
                names.map { name ->
                    ClaimRegistry(Incarnation(name, 1), store, clock, clock.monotonic, routers = { names })
                }
            a.claim("k").get().shouldBeInstanceOf<ClaimDecision.Granted>()
            clock.advance(Duration.ofHours(25))
            b.claim("k").get().shouldBeInstanceOf<ClaimDecision.Granted>()
            store.restore(store.copy())
            for (router in listOf(b, a)) {
                router.onEraChanged(1)
                router.maintainRestored()
            }
            a.claim("k").get().shouldBeInstanceOf<ClaimDecision.Unfinished>()
        }

        test("guards against a stop that waits for each shard of a store that does not respond") {
            val store =
                object : ObjectStore by FakeObjectStore() {
                    override suspend fun get(key: ObjectKey) = awaitCancellation()
                }
            val self = Incarnation(InstanceId("a"), 1)
            val witnesses = ClaimWitnesses(self.instance, FakePeerHub().join(self))
            val router = ClaimRegistry(self, store, clock, clock.monotonic, witnesses = witnesses)
            router.onEraChanged(1)
            withTimeoutOrNull(30.seconds) { router.handOver() } shouldBe true
        }

        test("concurrent claims of one shard share a write") {
            val store = FakeObjectStore()
            val router = registry(store, "a")
            coroutineScope { List(1_000) { async { router.claim("k$it") } }.awaitAll() }
            println("ClaimRegistry: 1000 claims at once took ${store.writeCount} writes")
            store.writeCount shouldBeLessThanOrEqual 128
        }

        test(
            "a full shard refuses new keys as not run, stays under 1 MB, and accepts new keys after the retention time",
        ) {
            val store = FakeObjectStore()
            val router = registry(store, "a-router-with-a-long-instance-name")
            val candidates = (0 until 500_000).map { ClaimKey.of(WorkspaceId("w"), RouteId("r"), "$it") to "$it" }
            val keys = candidates.filter { it.first.shard == 7 }.map { it.second }
            coroutineScope { keys.take(6_000).map { async { router.claim(it) } }.awaitAll() }
            val error = router.claim(keys[6_000]).getError()
            error.shouldBeInstanceOf<ClaimError.ShardFull>()
            error.toRefusal().ran shouldBe Ran.NO
            val size = store.history(ObjectKey("claim/7")).last().length
            println("ClaimRegistry: a full shard has $size bytes")
            size shouldBeLessThan 1_000_000
            clock.advance(Duration.ofHours(24))
            router.claim(keys[6_000]).get().shouldBeInstanceOf<ClaimDecision.Granted>()
        }

        test("an outage of the platform refuses the claim with a retry hint") {
            val error = registry(FakeObjectStore().withFaults { StoreFault.UNAVAILABLE }, "a").claim("k").getError()
            error.shouldBeInstanceOf<ClaimError.PlatformUnavailable>()
            error.toRefusal().retryAfter shouldBe Duration.ofSeconds(2)
        }

        test("the bodies of a shard stay under 1 MB and the oldest are evicted first") {
            var bodies = ClaimBodies()
            repeat(400) {
                val body = ClaimBody("t$it", it.toLong(), "application/json", "\u0001".repeat(4_096))
                bodies = bodies.withAdded(mapOf("h$it" to body), oldestMillis = 0, maxBytes = 750_000)
            }
            bodies.bodies.containsKey("h399") shouldBe true
            val size =
                TypedObject.JSON
                    .encodeToString(ClaimBodies.serializer(), bodies)
                    .encodeToByteArray()
                    .size
            size shouldBeLessThan 1_000_000
        }
    })
