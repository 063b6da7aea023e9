package io.limpetfold.directory

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

class EndpointDirectoryTest :
    FunSpec({
        fun EndpointDirectory.usableIds(now: Duration) = usable("s", now).map { it.id.value }

        test("guards against new calls to an endpoint that is draining, or was removed while the store was available") {
            val directory = EndpointDirectory()
            directory.applyList(listOf(endpoint("a"), endpoint("b"), endpoint("c")), ObjectVersion.of(10), seconds(1))
            directory.applyChanges(
                listOf(endpoint("a", isDraining = true)),
                listOf(EndpointId("b")),
                ObjectVersion.of(11),
                seconds(2),
            )
            directory.usableIds(seconds(2)) shouldBe listOf("c")
            directory.isUsable(endpoint("b"), seconds(2)) shouldBe false
        }

        test("guards against an endpoint that stays cold because its entry is read again, and one that starts warm") {
            val directory = EndpointDirectory()
            val cold = endpoint("a").copy(coldMillis = 5_000)
            directory.applyList(listOf(cold), ObjectVersion.of(10), seconds(1))
            directory.applyList(listOf(cold), ObjectVersion.of(11), seconds(4))
            directory.isCold(cold, seconds(5)) shouldBe true
            directory.isCold(cold, seconds(6)) shouldBe false
            val restarted = cold.copy(startedAtMillis = 2)
            directory.applyChanges(listOf(restarted), emptyList(), ObjectVersion.of(12), seconds(7))
            directory.isCold(restarted, seconds(11)) shouldBe true
        }

        test("guards against losing live endpoints whose entries expired during an outage of the store") {
            val directory = EndpointDirectory()
            directory.applyList(listOf(endpoint("a"), endpoint("b")), ObjectVersion.of(10), seconds(1))
            directory.onStoreUnavailable()
            directory.onStoreAvailable(seconds(9))
            directory.applyList(emptyList(), ObjectVersion.of(20), seconds(9))
            directory.usableIds(seconds(10)) shouldBe listOf("a", "b")
            directory.applyChanges(listOf(endpoint("a")), emptyList(), ObjectVersion.of(21), seconds(10))
            directory.usableIds(seconds(11)) shouldBe listOf("a")
        }

        test("guards against keeping an endpoint that was already draining when its entry expired in an outage") {
            val directory = EndpointDirectory()
            directory.applyList(listOf(endpoint("a", isDraining = true)), ObjectVersion.of(10), seconds(1))
            directory.onStoreUnavailable()
            directory.onStoreAvailable(seconds(5))
            directory.applyList(emptyList(), ObjectVersion.of(20), seconds(5))
            directory.all(seconds(5)) shouldBe emptyList()
        }

        test("guards against a stale list or change that restores a removed endpoint") {
            val directory = EndpointDirectory()
            directory.applyList(listOf(endpoint("a"), endpoint("b")), ObjectVersion.of(10), seconds(1))
            directory.applyChanges(emptyList(), listOf(EndpointId("a")), ObjectVersion.of(12), seconds(2))
            directory.applyList(listOf(endpoint("a"), endpoint("b")), ObjectVersion.of(11), seconds(3))
            directory.applyChanges(listOf(endpoint("a")), emptyList(), ObjectVersion.of(11), seconds(3))
            directory.usableIds(seconds(3)) shouldBe listOf("b")
        }

        fun Endpoint.at(
            revision: Long,
            era: Long = 0,
        ) = copy(entryVersion = ObjectVersion.of(revision, era))

        fun era1(revision: Long) = ObjectVersion.of(revision, era = 1)

        test("guards against a restored store that makes a draining endpoint ready again, until it is written again") {
            val directory = EndpointDirectory()
            val ready = endpoint("a")
            directory.applyList(listOf(ready.at(300)), ObjectVersion.of(400), seconds(1))
            directory.applyChanges(
                listOf(endpoint("a", isDraining = true).at(450)),
                emptyList(),
                ObjectVersion.of(450),
                seconds(2),
            )
            directory.applyList(listOf(ready.at(300, 1)), era1(320), seconds(3))?.stillDraining shouldBe 1
            directory.applyList(listOf(ready.at(300, 1)), era1(330), seconds(4))
            directory.applyList(listOf(ready.at(300, 2)), ObjectVersion.of(310, 2), seconds(5))
            directory.usableIds(seconds(5)) shouldBe emptyList()
            val restarted = endpoint("a", startedAtMillis = 2).at(311, 2)
            directory.applyChanges(listOf(restarted), emptyList(), ObjectVersion.of(311, 2), seconds(6))
            directory.applyList(listOf(ready.at(300, 3)), ObjectVersion.of(305, 3), seconds(7))
            directory.isUsable(ready, seconds(7)) shouldBe false
            directory.isUsable(restarted, seconds(7)) shouldBe true
        }

        test("guards against a restored store that brings a removed endpoint back") {
            fun directory() =
                EndpointDirectory().also {
                    it.applyList(listOf(endpoint("a").at(300)), ObjectVersion.of(400), seconds(1))
                    it.applyChanges(emptyList(), listOf(EndpointId("a")), ObjectVersion.of(500), seconds(2))
                    it.applyList(listOf(endpoint("a").at(300, 1)), era1(320), seconds(3))?.withheld shouldBe 1
                    it.applyList(listOf(endpoint("a").at(300, 1)), era1(321), seconds(4))
                    it.usableIds(seconds(4)) shouldBe emptyList()
                }

            directory().run {
                applyChanges(listOf(endpoint("a").at(322, 1)), emptyList(), era1(322), seconds(5))
                usableIds(seconds(5)) shouldBe listOf("a")
            }
            directory().run {
                applyList(listOf(endpoint("a").at(322, 1)), era1(330), seconds(5))
                usableIds(seconds(5)) shouldBe listOf("a")
            }
            directory().run {
                applyList(listOf(endpoint("a").at(501, 2)), ObjectVersion.of(510, 2), seconds(5))
                usableIds(seconds(5)) shouldBe listOf("a")
            }
            // The entry of a live endpoint that has nothing new to write stays as it is in the copy.
            directory().usableIds(seconds(13)) shouldBe listOf("a")
            directory().run {
                applyChanges(emptyList(), listOf(EndpointId("a")), era1(340), seconds(7))
                usableIds(seconds(14)) shouldBe emptyList()
            }
        }

        test("guards against a draining or removed endpoint that the second of two restores makes usable again") {
            val ready = endpoint("a")
            val known =
                listOf(
                    listOf(endpoint("a", isDraining = true).at(300)) to emptyList(),
                    emptyList<Endpoint>() to listOf(ready.id),
                )
            for ((written, removed) in known) {
                val directory = EndpointDirectory()
                directory.applyList(listOf(ready.at(100)), ObjectVersion.of(200), seconds(1))
                directory.applyChanges(listOf(ready.at(250)), emptyList(), ObjectVersion.of(250), seconds(2))
                directory.applyChanges(written, removed, ObjectVersion.of(300), seconds(3))
                directory.applyList(listOf(ready.at(100, 1)), era1(240), seconds(4))
                directory.applyList(listOf(ready.at(250, 2)), ObjectVersion.of(290, 2), seconds(6))
                directory.usableIds(seconds(6)) shouldBe emptyList()
                directory.applyChanges(listOf(ready.at(291, 2)), emptyList(), ObjectVersion.of(291, 2), seconds(7))
                directory.usableIds(seconds(7)) shouldBe listOf("a")
            }
        }

        test("guards against the use of a removed endpoint before a store restored again had time to drop its entry") {
            val directory = EndpointDirectory()
            directory.applyList(listOf(endpoint("a").at(300)), ObjectVersion.of(400), seconds(1))
            directory.applyChanges(emptyList(), listOf(EndpointId("a")), ObjectVersion.of(500), seconds(2))
            directory.applyList(listOf(endpoint("a").at(300, 1)), era1(320), seconds(3))
            directory.applyList(listOf(endpoint("a").at(300, 2)), ObjectVersion.of(320, 2), seconds(12))
            directory.usableIds(seconds(21)) shouldBe emptyList()
            directory.usableIds(seconds(22)) shouldBe listOf("a")
        }

        test("guards against an endpoint that any schedule of writes and restores makes usable without a write") {
            for (seed in 0 until 500) withClue("seed $seed") { runRestores(Random(seed)) }
        }

        test(
            "guards against losing endpoints that the copy of a restored store lacks, and against keeping them for good",
        ) {
            val directory = EndpointDirectory()
            val leaving = endpoint("c", isDraining = true)
            directory.applyList(listOf(endpoint("a"), endpoint("b"), leaving), ObjectVersion.of(400), seconds(1))
            directory.applyList(emptyList(), era1(320), seconds(3))?.missing shouldBe 3
            directory.applyList(emptyList(), era1(321), seconds(4))
            directory.all(seconds(4)).map { it.id.value } shouldBe listOf("a", "b")
            directory.listed(seconds(4)) shouldBe emptyList()
            directory.applyChanges(listOf(endpoint("a")), emptyList(), era1(322), seconds(4))
            directory.usableIds(seconds(5)) shouldBe listOf("a")
            directory.applyChanges(emptyList(), listOf(EndpointId("a")), era1(323), seconds(5))
            directory.usableIds(seconds(5)) shouldBe emptyList()
        }

        test("guards against removals that are remembered without bound") {
            val directory = EndpointDirectory(DirectoryPolicy(maxRemovals = 1))
            val all = listOf(endpoint("a").at(300), endpoint("b").at(301), endpoint("c").at(302))
            directory.applyList(all, ObjectVersion.of(400), seconds(1))
            directory.applyChanges(emptyList(), all.take(2).map { it.id }, ObjectVersion.of(500), seconds(2))
            directory.applyList(all.map { it.at(it.entryVersion.revision, 1) }, era1(320), seconds(3))
            directory.usableIds(seconds(3)) shouldBe listOf("c", "a")
            directory.applyChanges(emptyList(), listOf(EndpointId("c")), era1(330), seconds(4))
            directory.applyList(listOf(endpoint("c").at(302, 2)), ObjectVersion.of(325, 2), seconds(400))
            directory.usableIds(seconds(402)) shouldBe listOf("c")
        }

        test("guards against a call to an earlier incarnation of an endpoint") {
            val directory = EndpointDirectory()
            val oldIncarnation = endpoint("a", startedAtMillis = 1)
            directory.applyList(listOf(oldIncarnation), ObjectVersion.of(10), seconds(1))
            directory.applyChanges(
                listOf(endpoint("a", startedAtMillis = 2)),
                emptyList(),
                ObjectVersion.of(11),
                seconds(2),
            )
            directory.isUsable(oldIncarnation, seconds(2)) shouldBe false
        }
    }) {
    private companion object {
        fun seconds(value: Long): Duration = Duration.ofSeconds(value)

        /** Restores the store from copies of any age; an endpoint that left is usable only after a change of its entry. */
        fun runRestores(random: Random) {
            val directory = EndpointDirectory()
            val now = seconds(1)
            var entries = emptyMap<EndpointId, Endpoint>()
            var position = ObjectVersion.of(1)
            val copies = mutableListOf(entries to position.revision)
            val usable = mutableSetOf<EndpointId>()
            directory.applyList(emptyList(), position, now)
            repeat(40) {
                if (random.nextInt(4) == 0) {
                    val era = position.era + 1
                    val (copied, revision) = copies.random(random)
                    position = ObjectVersion.of(revision, era)
                    entries = copied.mapValues { (_, it) -> it.copy(entryVersion = it.entryVersion.inEra(era)) }
                    usable -= entries.filterValues { it.isDraining }.keys
                    directory.applyList(entries.values.toList(), position, now)
                } else {
                    position = ObjectVersion.of(position.revision + 1, position.era)
                    val id = EndpointId("e${random.nextInt(3)}")
                    if (id in entries && random.nextInt(3) == 0) {
                        entries = entries - id
                        usable -= id
                        directory.applyChanges(emptyList(), listOf(id), position, now)
                    } else {
                        val isDraining = random.nextInt(3) == 0
                        val written = endpoint(id.value, isDraining).copy(entryVersion = position)
                        entries = entries + (id to written)
                        if (isDraining) usable -= id else usable += id
                        directory.applyChanges(listOf(written), emptyList(), position, now)
                    }
                }
                copies += entries to position.revision
                directory.usable("s", now).mapTo(HashSet()) { it.id } shouldBe usable
            }
        }

        fun ObjectVersion.inEra(era: Long) = ObjectVersion.of(revision, era)

        fun endpoint(
            id: String,
            isDraining: Boolean = false,
            startedAtMillis: Long = 1,
        ) = Endpoint(EndpointId(id), startedAtMillis, "s", "10.0.0.1", 80, ZoneId("z"), "v1", 8, isDraining)
    }
}
