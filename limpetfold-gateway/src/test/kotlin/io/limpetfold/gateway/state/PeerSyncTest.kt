package io.limpetfold.gateway.state

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.EndpointDecoder
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.routing.KeyRequirement
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.RoutingTableDecoder
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreFault
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.Dispatchers
import java.time.Duration
import kotlin.random.Random

class PeerSyncTest :
    FunSpec({
        test("guards against a router that is cut from the store and never learns that it was restored") {
            val hub = FakePeerHub()
            val store = FakeObjectStore()
            val key = ObjectKey("servers/i-1")
            var isCut = false
            val eras = mutableListOf<Long>()
            val cutStore =
                EraCheckedStore(
                    store.withFaults { if (isCut) StoreFault.UNAVAILABLE else StoreFault.NONE },
                    { _, current -> eras += current },
                )
            val cut = Router("10.0.0.1", hub, cutStore::onVersionTold)
            val copy = store.copy()
            repeat(3) { store.put(key, "{}", store.get(key).get()?.version ?: ObjectVersion.NONE) }
            val known = checkNotNull(cutStore.list("servers/").get())
            cut.updater.onListed(known)
            isCut = true
            cut.updater.onFailed(checkNotNull(cutStore.list("servers/").getError()))

            store.restore(copy)
            store.put(ObjectKey("servers/i-2"), "{}", ObjectVersion.NONE)
            val peer = Router("10.0.0.2", hub) {}
            peer.updater.onListed(checkNotNull(EraCheckedStore(store).list("servers/").get()))
            repeat(2) { cut.sync.maintain(listOf(peer.member())) }

            eras.shouldContainExactly(1L)
            cutStore.watch("servers/", known.position, Duration.ZERO).getError() shouldBe StoreError.HistoryExpired
            cut.directory.position shouldBe ObjectVersion.of(1, era = 1)
            cut.directory.listed(Duration.ZERO).map { it.id.value } shouldBe listOf("i-2")
        }

        test("guards against a large configuration that each router fetches from one peer beside its watch") {
            val hub = FakePeerHub()
            val newest = Router("10.0.0.1", hub) {}
            val version8 = "8" + " ".repeat(500_000)
            newest.routing.applyIfNewer(version8, "store")
            val others = (2..20).map { Router("10.0.0.$it", hub) {} }
            others.forEach { it.routing.onChanged(NO_CHANGE) }

            others.forEach { it.sync.maintain(listOf(newest.member())) }
            hub.askCount(ROUTING_TOPIC) shouldBe 0

            others.forEach { it.sync.maintain(listOf(newest.member())) }
            others.map { it.routing.current?.version }.distinct() shouldBe listOf(8L)
            others.last().routing.storedText shouldBe version8
        }

        test("guards against a router that is cut from the store and waits for a watch that brings no configuration") {
            val hub = FakePeerHub()
            val newest = Router("10.0.0.1", hub) {}
            newest.routing.applyIfNewer("8", "store")
            val cut = Router("10.0.0.2", hub) {}
            cut.routing.onFailed(StoreError.Unavailable("cut"))

            cut.sync.maintain(listOf(newest.member()))
            cut.routing.current?.version shouldBe 8L
        }
    }) {
    private class Router(
        private val address: String,
        hub: FakePeerHub,
        onVersionTold: (ObjectVersion) -> Unit,
    ) {
        private val self = Incarnation(InstanceId(address), 1)
        private val peers = hub.join(self)
        private val log = DecisionLog("test")
        private val clock = MonotonicClock()
        val routing = RoutingTableReplica(ObjectKey("config/main"), VERSION_ONLY, log) { _, _ -> }
        val directory = EndpointDirectory()
        val updater = EndpointDirectoryUpdater(directory, DECODER, clock, log)
        val sync = PeerSync(peers, routing, directory, updater, clock, Dispatchers.Unconfined, Random(1), onVersionTold)

        init {
            sync.register()
        }

        fun member() =
            Member(self, ZoneId("z"), routing.current?.version ?: 0, null, isDraining = false, directory.position)
    }

    private companion object {
        val NO_CHANGE = ObjectPage(persistentListOf(), ObjectVersion.of(1))
        val VERSION_ONLY =
            RoutingTableDecoder {
                Ok(RoutingTable(it.trim().toLong(), persistentListOf(), persistentListOf(), KeyRequirement.None))
            }
        val DECODER =
            EndpointDecoder {
                val id = EndpointId(it.key.path.substringAfter('/'))
                Ok(Endpoint(id, 1, "s", "10.0.0.9", 80, ZoneId("z"), "v1", 8))
            }
    }
}
