package io.limpetfold.gateway.operate

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.membership.Heartbeat
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

/**
 * Load pattern: every router of a large fleet receives calls of every workspace, and is connected to only a part of the
 * fleet.
 */
class ZoneLenderSelectorTest :
    FunSpec({
        test(
            "guards against ledgers with an entry of every router, and against a router that lends for all workspaces",
        ) {
            for (routerCount in listOf(78, 330)) {
                val fleet = Fleet(routerCount)
                fleet.exchangeHeartbeats()
                val lendersByWorkspace =
                    WORKSPACES.associateWith { workspace ->
                        fleet.routers.map { it.lenderOf(workspace) }
                    }
                val holders = lendersByWorkspace.mapValues { (_, lenders) -> lenders.toSet().size }

                val estimate =
                    fleet.routers
                        .first()
                        .lenders.holderCount
                val mean = holders.values.average().toInt()
                mean shouldBeInRange estimate / 2..estimate * 2
                holders.values.max() shouldBeLessThanOrEqual estimate * 2
                val lentWorkspaceCounts =
                    fleet.routers.map { router ->
                        lendersByWorkspace.count { (_, lenders) ->
                            router.self in
                                lenders
                        }
                    }
                lentWorkspaceCounts.max() shouldBeLessThanOrEqual WORKSPACES.size / 2
            }
        }

        test("guards against a small fleet that depends on lenders, and against selecting a lender that is draining") {
            val small = Fleet(routerCount = 17)
            small.exchangeHeartbeats()
            small.routers.flatMap { it.lenders.lendersOf(WORKSPACES.first()) } shouldBe emptyList()

            val large = Fleet(routerCount = 78)
            large.exchangeHeartbeats()
            val first = large.routers.first { it.lenderOf(WORKSPACES.first()) != it.self }
            val lender = first.lenderOf(WORKSPACES.first())
            large.draining += lender
            large.exchangeHeartbeats()
            first.lenders.lendersOf(WORKSPACES.first()) shouldNotContain lender
        }
    }) {
    private class Router(
        val self: InstanceId,
        val membership: Membership,
    ) {
        val lenders = ZoneLenderSelector(self, ZONE, membership)

        fun lenderOf(workspace: WorkspaceId): InstanceId = lenders.lendersOf(workspace).firstOrNull() ?: self
    }

    private class Fleet(
        routerCount: Int,
    ) {
        private val hub = FakePeerHub()
        private val clock = TestClock()
        private val names = List(routerCount) { InstanceId("10.0.${it / 100}.${it % 100}") }
        private val listed =
            names
                .map {
                    ListedInstance(
                        it,
                        ListedInstance.ROUTER_SERVICE,
                        VersionId("1"),
                        ZONE,
                        it.value,
                        8485,
                    )
                }.toImmutableList()
        val draining = mutableSetOf<InstanceId>()
        val routers = names.map(::router)

        /** Reads the instance list and exchanges heartbeats over the connections that membership selects. */
        suspend fun exchangeHeartbeats() {
            hub.fault = { _, _ -> PeerFault.REQUEST_LOST }
            routers.forEach { it.membership.maintain() }
            val chosen =
                routers.associate { router ->
                    router.self to
                        router.membership.connectionTargets().mapTo(HashSet()) { it.instance }
                }
            hub.fault =
                { from, to ->
                    if (to in chosen.getValue(from) ||
                        from in chosen.getValue(to)
                    ) {
                        PeerFault.NONE
                    } else {
                        PeerFault.REQUEST_LOST
                    }
                }
            clock.advance(Duration.ofSeconds(5))
            routers.forEach { it.membership.maintain() }
        }

        private fun router(name: InstanceId): Router {
            val self = Incarnation(name, 1)
            val membership =
                Membership(name, { Ok(listed) }, hub.join(self), clock.monotonic) {
                    Heartbeat(self, ZONE, generation = 1, seat = null, isDraining = name in draining)
                }
            return Router(name, membership)
        }
    }

    private companion object {
        val ZONE = ZoneId("a")
        val WORKSPACES = List(24) { WorkspaceId("workspace-$it") }
    }
}
