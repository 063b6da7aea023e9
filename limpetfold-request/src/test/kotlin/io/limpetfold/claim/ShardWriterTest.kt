package io.limpetfold.claim

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.InstanceId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock

class ShardWriterTest :
    FunSpec({
        val copy = ClaimCopy(0, "hash", ClaimRecord("token", TestClock().millis()), era = 0)

        /** Restores a shard while a peer asks to keep [copy] at the first call [isMoment]; what was confirmed, and stored. */
        suspend fun restore(isMoment: (StoreCall) -> Boolean): Pair<Boolean?, Boolean> {
            val store = FakeObjectStore()
            val shard = TypedObject(store, ObjectKey("claim/0"), ClaimShard.serializer())
            shard.update<Nothing>(isApplied = { false }) { Change.Write(ClaimShard()) }
            store.restore(store.copy())
            val clock = TestClock()
            lateinit var writer: ShardWriter
            var isConfirmed: Boolean? = null
            val observed =
                store.withFaults {
                    if (isConfirmed == null && isMoment(it)) isConfirmed = writer.keep(copy)
                    StoreFault.NONE
                }
            val eras = ClaimEras(clock.monotonic)
            writer = ShardWriter(0, observed, clock, ClaimPolicy(), ClaimListener.NONE, clock.monotonic, eras, null)
            writer.restore(InstanceId("b"), setOf("b")) shouldBe true
            val records =
                shard
                    .read()
                    .get()
                    ?.value
                    ?.records
            return isConfirmed to (records?.get("hash")?.token == "token")
        }

        test("guards against a claim that is confirmed before the era is known, and left out of the restored shard") {
            restore { it is StoreCall.Get } shouldBe (true to true)
        }

        test("guards against a claim that is confirmed after the claims to restore were chosen") {
            restore { it is StoreCall.Put } shouldBe (false to false)
        }
    })
