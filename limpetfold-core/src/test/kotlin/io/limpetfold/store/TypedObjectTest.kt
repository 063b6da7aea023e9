package io.limpetfold.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import java.time.Duration

class TypedObjectTest :
    FunSpec({
        test("a write whose response was lost is recognised as applied and not repeated") {
            val store = LossyStore(loseResponses = 1)
            val counter = TypedObject(store, ObjectKey("counter"), Counter.serializer())

            val updated = counter.update<Nothing>({ "a" in it.authors }) { Change.Write((it ?: Counter()).add("a")) }

            updated.get()?.value shouldBe Counter(1, setOf("a"))
            store.writeCount shouldBe 1
        }

        test("an outage after a lost response is reported as an unknown outcome, not as nothing written") {
            val store = LossyStore(loseResponses = 1, isDownAfterLoss = true)
            val counter = TypedObject(store, ObjectKey("counter"), Counter.serializer())

            val error =
                counter
                    .update<Nothing>(
                        { "a" in it.authors },
                    ) { Change.Write((it ?: Counter()).add("a")) }
                    .getError()

            (error as UpdateError.Failed).error::class shouldBe StoreError.OutcomeUnknown::class
        }

        test("a refused change writes nothing") {
            val store = LossyStore()
            val counter = TypedObject(store, ObjectKey("counter"), Counter.serializer())

            counter.update({ false }) { Change.Refuse("full") }.getError() shouldBe UpdateError.Refused("full")
            store.writeCount shouldBe 0
        }

        test("guards against a lost change, or an additional read, when the first attempt uses a stale value") {
            val store = LossyStore()
            val counter = TypedObject(store, ObjectKey("counter"), Counter.serializer())
            counter.update<Nothing>({ false }) { Change.Write((it ?: Counter()).add("a")) }
            store.freezeStaleReads()
            counter.update<Nothing>({ false }) { Change.Write((it ?: Counter()).add("b")) }
            val readsBefore = store.readCount
            val updated =
                counter.update<Nothing>(
                    { false },
                    isStaleReadAllowed = true,
                ) { Change.Write((it ?: Counter()).add("c")) }
            updated.get()?.value shouldBe Counter(3, setOf("a", "b", "c"))
            store.readCount shouldBe readsBefore
        }

        test("guards against a refusal that is based on a stale value") {
            val store = LossyStore()
            val counter = TypedObject(store, ObjectKey("counter"), Counter.serializer())
            counter.update<Nothing>({ false }) { Change.Write((it ?: Counter()).add("a")) }
            store.freezeStaleReads()
            counter.update<Nothing>({ false }) { Change.Write((it ?: Counter()).add("b")) }
            val updated =
                counter.update({ false }, isStaleReadAllowed = true) {
                    if (it?.count ==
                        1
                    ) {
                        Change.Refuse("too few")
                    } else {
                        Change.Keep
                    }
                }
            updated.get()?.value shouldBe Counter(2, setOf("a", "b"))
        }
    }) {
    @Serializable
    data class Counter(
        val count: Int = 0,
        val authors: Set<String> = emptySet(),
    ) {
        fun add(author: String) = Counter(count + 1, authors + author)
    }

    private class LossyStore(
        private var loseResponses: Int = 0,
        private val isDownAfterLoss: Boolean = false,
    ) : ObjectStore {
        private var stored: StoredObject? = null
        private var staleValue: StoredObject? = null
        private var isDown = false
        var writeCount = 0
        var readCount = 0

        /** Makes stale reads return the current value until the next call. */
        fun freezeStaleReads() {
            staleValue = stored
        }

        override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> {
            readCount++
            return if (isDown) Err(StoreError.Unavailable("down")) else Ok(stored)
        }

        override suspend fun getStale(key: ObjectKey): Result<StoredObject?, StoreError> = Ok(staleValue)

        override suspend fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> {
            writeCount++
            val current = stored?.version ?: ObjectVersion.NONE
            if (expected != current) return Err(StoreError.Conflict(key, current, stored))
            stored = StoredObject(key, ObjectVersion.of(expected.revision + 1), value)
            if (loseResponses-- <= 0) return Ok(ObjectVersion.of(expected.revision + 1))
            isDown = isDownAfterLoss
            return Err(StoreError.OutcomeUnknown("lost"))
        }

        override suspend fun list(prefix: String) = Ok(ObjectPage(persistentListOf(), ObjectVersion.NONE))

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ) = list(prefix)
    }
}
