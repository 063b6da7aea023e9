package io.limpetfold.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.StoreError
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

class MembershipTest :
    FunSpec({
        test("a restarted router replaces its earlier incarnation, which then counts as ended") {
            val fleet = Fleet()
            val a = fleet.start("a", 1)
            fleet.start("b", 1)
            a.maintain()
            fleet.hub.disconnect(InstanceId("b"))
            fleet.start("b", 2)
            fleet.clock.advance(Duration.ofSeconds(3))
            a.maintain()

            a.members().map { it.incarnation } shouldContainExactly listOf(Incarnation(InstanceId("b"), 2))
            a.hasEnded(Incarnation(InstanceId("b"), 1)) shouldBe true
            a.hasEnded(Incarnation(InstanceId("b"), 2)) shouldBe false
        }

        test("an unreachable router does not count as ended while the platform lists it") {
            val fleet = Fleet()
            val a = fleet.start("a", 1)
            fleet.start("b", 1)
            a.maintain()
            fleet.hub.disconnect(InstanceId("b"))
            repeat(120) {
                fleet.clock.advance(Duration.ofSeconds(1))
                a.maintain()
            }

            a.members() shouldHaveSize 0
            a.hasEnded(Incarnation(InstanceId("b"), 1)) shouldBe false
        }

        test(
            "an instance missing from the platform's list for long enough has ended, but an outage of the list proves nothing",
        ) {
            val fleet = Fleet()
            val a = fleet.start("a", 1)
            fleet.start("b", 1)
            a.maintain()
            fleet.isDown = true
            fleet.remove("b")
            repeat(120) {
                fleet.clock.advance(Duration.ofSeconds(1))
                a.maintain()
            }
            a.hasEnded(Incarnation(InstanceId("b"), 1)) shouldBe false

            fleet.isDown = false
            repeat(66) {
                fleet.clock.advance(Duration.ofSeconds(1))
                a.maintain()
            }
            a.hasEnded(Incarnation(InstanceId("b"), 1)) shouldBe true
        }

        // A restored store lacks the entries that were written since the copy, and their routers write them again.
        test("guards against a router that runs, is missing from the platform's list, and is dropped") {
            val fleet = Fleet()
            val routers = List(3) { fleet.start("router-$it", 1) }
            fleet.run(routers, Duration.ofSeconds(10))
            fleet.remove("router-1")
            fleet.run(routers, Duration.ofSeconds(30))
            routers.first().routerCount shouldBe 3
            routers.first().connectionTargets().map { it.instance } shouldContain InstanceId("router-1")

            fleet.hub.disconnect(InstanceId("router-1"))
            fleet.run(listOf(routers[0], routers[2]), Duration.ofSeconds(20))
            routers.first().routerCount shouldBe 2
        }

        test("a router that starts while the platform is unavailable copies the list from a peer") {
            val fleet = Fleet()
            fleet.start("a", 1).maintain()
            fleet.isDown = true
            val joining = fleet.start("b", 1)
            joining.maintain()

            joining.otherListedRouters().map { it.instance.value } shouldContainExactly listOf("a")
        }

        test(
            "in a large fleet the connections of a router are bounded, the fleet stays connected and zones reach their relay",
        ) {
            val routers = (1..330).map { InstanceId("router-$it") }
            val listed = routers.mapIndexed { index, router -> listedRouter(router, ZoneId("z${index % 10}")) }
            val edges = routers.associateWith { PeerSelection.select(it, listed, MembershipPolicy()) }

            val leadersByZone =
                listed.groupBy { it.zone }.mapValues { (zone, ofZone) ->
                    ofZone.flatMap { PeerSelection.groupLeaders(it.instance, zone, listed) }.toSet()
                }
            val leaders = leadersByZone.values.flatten()
            for ((zone, ofZone) in listed.groupBy { it.zone }) {
                for (router in ofZone.map { it.instance }) {
                    val own = PeerSelection.groupLeaders(router, zone, listed) - router
                    edges.getValue(router) shouldContainAll own
                }
            }
            leaders.forEach { edges.getValue(it) shouldContainAll leaders - it }
            edges.filterKeys { it !in leaders }.values.maxOf { it.size } shouldBe MembershipPolicy().maxConnections
            leaders shouldHaveSize 10 * 4
            val inbound =
                edges.values
                    .flatten()
                    .groupingBy { it }
                    .eachCount()
            leaders.maxOf { inbound.getValue(it) + edges.getValue(it).size } shouldBeLessThanOrEqual 128
            val reached = mutableSetOf(routers.first())
            var frontier = reached.toSet()
            while (frontier.isNotEmpty()) {
                frontier = frontier.flatMap { edges.getValue(it) }.toSet() - reached
                reached += frontier
            }
            reached shouldHaveSize routers.size
        }

        test("guards against a large fleet whose changes pass through the narrowest links") {
            val listed =
                (1..40).map {
                    val linkCapacityMbps = if (it % 10 == 0) 200.0 else 10.0
                    listedRouter(
                        InstanceId("router-$it"),
                        ZoneId("z${it % 2}"),
                    ).copy(linkCapacityMbps = linkCapacityMbps)
                }
            val leaders = listed.flatMap { PeerSelection.groupLeaders(it.instance, it.zone, listed) }.distinct()
            leaders shouldHaveSize 2 * 4
            leaders shouldContainAll listOf(10, 20, 30, 40).map { InstanceId("router-$it") }
            listed
                .filter { it.zone == ZoneId("z0") }
                .map { PeerSelection.groupLeaders(it.instance, it.zone, listed) }
                .distinct() shouldHaveSize 1
        }

        test(
            "guards against heartbeats in both directions and list reads that grow with the connections of a large fleet",
        ) {
            val fleet = Fleet()
            val routers = List(40) { fleet.start("router-$it", 1) }
            fleet.run(routers, Duration.ofSeconds(10))
            val before = fleet.heartbeatCount to fleet.readCount
            fleet.run(routers, Duration.ofSeconds(40))

            // Each pair exchanges heartbeats every four seconds, and each router reads the list every twenty seconds.
            fleet.heartbeatCount - before.first shouldBeLessThanOrEqual 780 * 11
            fleet.readCount - before.second shouldBeLessThanOrEqual 40 * 3
            routers.forEach { it.members() shouldHaveSize 39 }
        }

        test("guards against a router that joins a large fleet and is left out until its members read the list again") {
            val fleet = Fleet()
            val routers = List(40) { fleet.start("router-$it", 1) }
            fleet.run(routers, Duration.ofSeconds(10))
            val joined = fleet.start("router-late", 1)
            fleet.run(routers + joined, Duration.ofSeconds(10))

            routers.first().members().map { it.instance } shouldContain InstanceId("router-late")
        }
    }) {
    private class Fleet : InstanceDirectory {
        val clock = TestClock()
        val hub = FakePeerHub()
        var isDown = false
        var heartbeatCount = 0
        var readCount = 0
        private val listed = mutableMapOf<String, ListedInstance>()

        fun start(
            name: String,
            number: Long,
        ): Membership {
            val zone = ZoneId("zone-$name")
            listed[name] =
                ListedInstance(InstanceId(name), ListedInstance.ROUTER_SERVICE, VersionId("1"), zone, "127.0.0.1", 7000)
            val incarnation = Incarnation(InstanceId(name), number)
            return Membership(incarnation.instance, this, hub.join(incarnation), clock.monotonic) {
                heartbeatCount++
                Heartbeat(incarnation, zone, 0, null, false)
            }
        }

        /** Runs [routers] for [duration]: calls [Membership.maintain] of each every half second. */
        suspend fun run(
            routers: List<Membership>,
            duration: Duration,
        ) = repeat((duration.toMillis() / 500).toInt()) {
            clock.advance(Duration.ofMillis(500))
            routers.forEach { it.maintain() }
        }

        fun remove(name: String) {
            listed.remove(name)
        }

        override suspend fun list(): Result<ImmutableList<ListedInstance>, StoreError> {
            readCount++
            return if (isDown) Err(StoreError.Unavailable("down")) else Ok(listed.values.toImmutableList())
        }
    }
}

private fun listedRouter(
    instance: InstanceId,
    zone: ZoneId,
) = ListedInstance(instance, ListedInstance.ROUTER_SERVICE, VersionId("1"), zone, instance.value, 1)
