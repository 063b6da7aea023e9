package io.limpetfold.gateway.operate

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.testing.FakeObjectStore

/** Guards against routers that a restored store no longer lists, and against writes of entries that it still holds. */
class FleetRenewalTest :
    FunSpec({
        test("guards against an entry that a restore removes for good, and one that is written without need") {
            val store = FakeObjectStore()
            val routers = List(3) { StoreInstanceDirectory(EraCheckedStore(store), DecisionLog("test"), emptySet()) {} }
            routers[0].register(listed(0))
            val copy = store.copy()
            routers[1].register(listed(1))
            routers[2].register(listed(2))
            store.restore(copy)
            repeat(2) { routers.forEachIndexed { index, directory -> directory.renew(listed(index)) } }
            store.writeCount shouldBe 5
            routers[0]
                .list()
                .get()
                ?.map { it.instance.value }
                ?.toSet() shouldBe setOf("r0", "r1", "r2")
        }
    })

private fun listed(index: Int) =
    ListedInstance(
        InstanceId("r$index"),
        ListedInstance.ROUTER_SERVICE,
        VersionId("1"),
        ZoneId("z"),
        "127.0.0.1",
        7000 + index,
    )
