package io.limpetfold.replication

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

class ObjectHistoryTest :
    FunSpec({
        fun key(name: String) = ObjectKey("servers/$name")

        fun page(
            position: Long,
            written: Map<String, Long> = emptyMap(),
            removed: List<String> = emptyList(),
        ) = ObjectPage(
            written
                .map { (name, version) ->
                    StoredObject(key(name), ObjectVersion.of(version), "{}")
                }.toImmutableList(),
            ObjectVersion.of(position),
            removed.map(::key).toImmutableList(),
        )

        test("returns only what changed after a position") {
            val history = ObjectHistory()
            history.applyListing(page(10, mapOf("a" to 3, "b" to 9)))
            history.applyChanges(ObjectVersion.of(10), page(14, mapOf("a" to 12), listOf("b")))
            history.changesAfter(ObjectVersion.of(10)) shouldBe page(14, mapOf("a" to 12), listOf("b"))
            history.changesAfter(ObjectVersion.of(14)) shouldBe page(14)
        }

        test("guards against a router that misses what was removed before the history begins") {
            val history = ObjectHistory()
            history.applyListing(page(10, mapOf("a" to 3)))
            history.changesAfter(ObjectVersion.of(9)) shouldBe null
        }

        test("guards against a removal that is sent on after the object was written again") {
            val history = ObjectHistory()
            history.applyListing(page(10, mapOf("a" to 3)))
            history.applyChanges(ObjectVersion.of(10), page(11, removed = listOf("a")))
            history.applyChanges(ObjectVersion.of(11), page(12, mapOf("a" to 12)))
            history.changesAfter(ObjectVersion.of(10)) shouldBe page(12, mapOf("a" to 12))
        }

        test("guards against removals that grow without bound, and against a gap where they were dropped") {
            val history = ObjectHistory(maxRemovals = 2)
            history.applyListing(page(10, mapOf("a" to 1, "b" to 2, "c" to 3)))
            history.applyChanges(ObjectVersion.of(10), page(11, removed = listOf("a")))
            history.applyChanges(ObjectVersion.of(11), page(12, removed = listOf("b")))
            history.applyChanges(ObjectVersion.of(12), page(13, removed = listOf("c")))
            history.changesAfter(ObjectVersion.of(10)) shouldBe null
            history.changesAfter(ObjectVersion.of(11))?.removed shouldBe persistentListOf(key("b"), key("c"))
        }

        test("guards against removals and objects of an earlier era that are told to those that follow the later one") {
            fun ObjectPage.ofEra(era: Long) =
                ObjectPage(
                    objects
                        .map { it.copy(version = ObjectVersion.of(it.version.revision, era)) }
                        .toImmutableList(),
                    ObjectVersion.of(position.revision, era),
                    removed,
                )

            val history = ObjectHistory()
            history.applyListing(page(10, mapOf("a" to 3, "b" to 9)))
            history.applyChanges(ObjectVersion.of(10), page(20, mapOf("a" to 12), listOf("b")))
            history.applyListing(page(8, mapOf("b" to 7)).ofEra(1))
            history.applyListing(page(30, mapOf("a" to 12)))
            history.applyChanges(ObjectVersion.of(20), page(31, removed = listOf("b")))

            history.position shouldBe ObjectVersion.of(8, 1)
            history.changesAfter(ObjectVersion.of(20)) shouldBe null
            history.changesAfter(ObjectVersion.of(8, 1)) shouldBe page(8).ofEra(1)
            history.changesAfter(ObjectVersion.of(8, 2)) shouldBe null
            history.applyChanges(ObjectVersion.of(8, 1), page(9, mapOf("c" to 9)).ofEra(1))
            history.changesAfter(ObjectVersion.of(8, 1)) shouldBe page(9, mapOf("c" to 9)).ofEra(1)
        }
    })
