package io.limpetfold.testing

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import java.time.Duration

/** Guards against calls that act on what the store held before it was restored from an older copy. */
class EraCheckedStoreTest :
    FunSpec({
        val key = ObjectKey("kind/a")
        val other = ObjectKey("kind/b")

        test("a revision of a later era is newer than each one of an earlier era") {
            ObjectVersion.of(3, era = 1) shouldBe maxOf(ObjectVersion.of(500, era = 0), ObjectVersion.of(3, era = 1))
            ObjectVersion.of(ObjectVersion.MAX_REVISION, ObjectVersion.MAX_ERA).run {
                revision to era shouldBe (ObjectVersion.MAX_REVISION to ObjectVersion.MAX_ERA)
            }
        }

        test("a write whose condition was read before a restore is refused although its revision matches again") {
            val fake = FakeObjectStore()
            val store = EraCheckedStore(fake)
            val copy = fake.copy()
            val before = checkNotNull(store.put(key, "1", ObjectVersion.NONE).get())
            fake.restore(copy)
            val after = checkNotNull(store.put(key, "2", ObjectVersion.NONE).getError())

            after.shouldBeInstanceOf<StoreError.OutcomeUnknown>()
            before.revision shouldBe
                store
                    .get(key)
                    .get()
                    ?.version
                    ?.revision
            store.put(key, "3", before).getError().shouldBeInstanceOf<StoreError.Conflict>()
            store.get(key).get()?.value shouldBe "2"
        }

        test("a write that a restore overtook is not reported as done when its condition held by accident") {
            val fake = FakeObjectStore()
            val store = EraCheckedStore(fake)
            val copy = fake.copy()
            val before = checkNotNull(store.put(key, "1", ObjectVersion.NONE).get())
            fake.restore(copy)
            fake.put(key, "by another", ObjectVersion.NONE)

            store.put(key, "2", before).getError().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
        }

        test("a watch across a restore lists again although the store has reached its position again") {
            val fake = FakeObjectStore()
            val store = EraCheckedStore(fake)
            val copy = fake.copy()
            store.put(key, "1", ObjectVersion.NONE)
            val position = checkNotNull(store.list("kind/").get()).position
            fake.restore(copy)
            fake.put(other, "2", ObjectVersion.NONE)

            store.watch("kind/", position, Duration.ZERO).getError() shouldBe StoreError.HistoryExpired
            store
                .list("kind/")
                .get()
                ?.objects
                ?.map { it.key } shouldBe listOf(other)
        }

        test("an era that a peer told counts as one that a response stated") {
            val fake = FakeObjectStore()
            val eras = mutableListOf<Long>()
            val store = EraCheckedStore(fake, { _, current -> eras += current })
            val position = checkNotNull(store.put(key, "1", ObjectVersion.NONE).get())
            store.onVersionTold(ObjectVersion.NONE)
            repeat(2) { store.onVersionTold(ObjectVersion.of(7, era = 1)) }

            eras.shouldContainExactly(1L)
            store.watch("kind/", position, Duration.ZERO).getError() shouldBe StoreError.HistoryExpired
            store.list("kind/").getError().shouldBeInstanceOf<StoreError.Unavailable>()
            fake.restore(fake.copy())
            store.list("kind/").get()?.position shouldBe ObjectVersion.of(1, era = 1)
            eras.shouldContainExactly(1L)
        }

        test("the first era is not reported, each later one is, once") {
            val fake = FakeObjectStore()
            val eras = mutableListOf<Pair<Long, Long>>()
            fake.restore(fake.copy())
            val store = EraCheckedStore(fake, { previous, current -> eras += previous to current })
            store.list("kind/")
            eras shouldBe emptyList()
            fake.restore(fake.copy())
            fake.restore(fake.copy())
            repeat(2) { store.list("kind/") }
            eras.shouldContainExactly(1L to 3L)
        }
    })
