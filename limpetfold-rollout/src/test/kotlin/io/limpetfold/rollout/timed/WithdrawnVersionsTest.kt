package io.limpetfold.rollout.timed

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.store.ObjectVersion
import java.time.Duration

/** Guards against a withdrawn version that gets calls again, or that is refused when it is ordered again. */
class WithdrawnVersionsTest :
    FunSpec({
        var now = Duration.ofSeconds(100)

        fun selector() = TimedVersionSelector(Incarnation(InstanceId("10.0.0.1"), 1), { now })

        fun order(
            target: String,
            position: Long,
            status: MoveStatus? = null,
            service: String = "app",
            previous: PreviousMove? = null,
            era: Long = 0,
        ) = MoveOrder(
            service,
            VersionId(target),
            Duration.ofSeconds(12),
            status,
            ObjectVersion.of(position, era),
            previous,
        )

        /** A router that has seen `v2` ordered at position 1 and taken back at position 2. */
        fun withTakenBack() =
            selector().apply {
                applyOrder(order("v2", 1))
                applyOrder(order("v2", 2, MoveStatus.TAKEN_BACK))
            }

        val v2 = setOf(VersionId("v2"))
        val present = setOf(ServiceVersion("app", VersionId("v2")))

        test("guards against a version that is forgotten when its order is replaced or removed") {
            val replaced = withTakenBack().apply { applyOrder(order("v3", 3)) }
            replaced.withdrawnVersions("app") shouldBe v2
            replaced.withdrawnVersions("other") shouldBe emptySet()
            withTakenBack().apply { removeOrder("app") }.withdrawnVersions("app") shouldBe v2
        }

        test("guards against a router that has just started and ignores the stored status of the earlier order") {
            fun started(status: MoveStatus) =
                selector().apply { applyOrder(order("v3", 3, previous = PreviousMove(VersionId("v2"), status))) }
            started(MoveStatus.TAKEN_BACK).withdrawnVersions("app") shouldBe v2
            started(MoveStatus.COMPLETED).withdrawnVersions("app") shouldBe emptySet()
            started(MoveStatus.ACTIVE).withdrawnVersions("app") shouldBe emptySet()
        }

        test("guards against a router that has just started and does not learn of the version from the others") {
            val told = withTakenBack().apply { removeOrder("app") }
            val started = selector()
            started.applyTrials(told.trials())
            started.withdrawnVersions("app") shouldBe v2
        }

        test("guards against a new trial of the version that is refused, and an old report that ends the trial") {
            val known = withTakenBack()
            val old = known.trials()
            val behind = selector().apply { applyTrials(old) }
            known.applyOrder(order("v3", 3))
            known.applyOrder(order("v2", 5))
            known.withdrawnVersions("app") shouldBe emptySet()
            known.applyTrials(old)
            known.applyOrder(order("v3", 6))
            known.withdrawnVersions("app") shouldBe emptySet()
            behind.applyTrials(known.trials())
            behind.withdrawnVersions("app") shouldBe emptySet()
        }

        test("guards against a response of before a restore that arrives late and replaces or removes the order") {
            val known = withTakenBack()
            known.applyOrder(order("v3", 2, era = 1))
            known.applyOrder(order("v2", 7))
            known.onOrderMissing("app", ObjectVersion.of(8)) shouldBe false
            known.choose("app")?.target shouldBe VersionId("v3")
        }

        test("guards against the second withdrawal of a version that is taken for its first") {
            val known = withTakenBack()
            known.applyOrder(order("v3", 3))
            known.applyOrder(order("v2", 5))
            known.applyOrder(order("v2", 6, MoveStatus.TAKEN_BACK))
            known.applyOrder(order("v3", 7))
            known.withdrawnVersions("app") shouldBe v2
        }

        test("guards against a version that is withheld though its completion was stored first") {
            val known = selector().apply { applyOrder(order("v2", 1)) }
            known.applyTrials(listOf(VersionTrial(present.single(), ObjectVersion.of(1), isWithdrawn = true)))
            known.withdrawnVersions("app") shouldBe v2
            known.applyOrder(order("v2", 2, MoveStatus.COMPLETED))
            known.withdrawnVersions("app") shouldBe emptySet()
        }

        test("guards against a version that is forgotten while its endpoints run, or kept without end after that") {
            val known = withTakenBack().apply { removeOrder("app") }
            repeat(100) {
                now += Duration.ofMinutes(1)
                known.updatePresence(present)
            }
            known.isWithdrawnVersionPresent shouldBe true
            known.withdrawnVersions("app") shouldBe v2
            known.updatePresence(emptySet())
            known.isWithdrawnVersionPresent shouldBe false
            now += WithdrawnVersions.RETENTION
            known.updatePresence(emptySet())
            known.withdrawnVersions("app") shouldBe v2
            now += Duration.ofSeconds(1)
            known.updatePresence(emptySet())
            known.trials() shouldBe emptyList()
        }

        test("guards against state that grows with the number of services and versions") {
            val known = selector()
            for (index in 1L..1000L) {
                now += Duration.ofMillis(1)
                known.applyOrder(order("v2", index, MoveStatus.TAKEN_BACK, service = "s$index"))
                known.removeOrder("s$index")
            }
            known.trials().size shouldBe WithdrawnVersions.MAX_TRIALS
            known.withdrawnVersions("s1000") shouldBe v2
        }
    })
