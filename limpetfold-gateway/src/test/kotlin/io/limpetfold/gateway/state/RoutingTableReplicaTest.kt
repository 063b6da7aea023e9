package io.limpetfold.gateway.state

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.routing.KeyRequirement
import io.limpetfold.routing.RoutingTable
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectVersion
import io.limpetfold.testing.FakeObjectStore
import kotlinx.collections.immutable.persistentListOf

class RoutingTableReplicaTest :
    FunSpec({
        val key = ObjectKey("config/main")

        test("guards against a confirmed configuration that a restored store undoes") {
            val fake = FakeObjectStore()
            val store = EraCheckedStore(fake)
            val replica =
                RoutingTableReplica(
                    key,
                    {
                        Ok(RoutingTable(it.toLong(), persistentListOf(), persistentListOf(), KeyRequirement.None))
                    },
                    DecisionLog("test"),
                ) { _, _ -> }

            suspend fun publish(version: Long) =
                fake.put(
                    key,
                    "$version",
                    fake.get(key).get()?.version ?: ObjectVersion.NONE,
                )

            suspend fun list(): Long? {
                replica.onListed(checkNotNull(store.list("config/").get()))
                return replica.current?.version
            }
            publish(1)
            val copy = fake.copy()
            publish(2)
            list() shouldBe 2
            fake.restore(copy)
            list() shouldBe 2
            replica.storedText shouldBe "2"
            publish(2)
            list() shouldBe 2
            publish(3)
            list() shouldBe 3
        }
    })
