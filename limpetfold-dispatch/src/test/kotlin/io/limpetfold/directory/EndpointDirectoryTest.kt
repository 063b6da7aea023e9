package io.limpetfold.directory

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectVersion
import java.time.Duration

class EndpointDirectoryTest :
    FunSpec({
        fun endpoint(
            id: String,
            isDraining: Boolean = false,
            startedAtMillis: Long = 1,
        ) = Endpoint(EndpointId(id), startedAtMillis, "s", "10.0.0.1", 80, ZoneId("z"), "v1", 8, isDraining)

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
    }
}
