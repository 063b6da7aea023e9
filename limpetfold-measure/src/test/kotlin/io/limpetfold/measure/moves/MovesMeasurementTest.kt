package io.limpetfold.measure.moves

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.rollout.MovePreset

class MovesMeasurementTest :
    FunSpec({
        // Guards against a measurement that is not repeatable, and against one in which every kind of version ends the same way.
        test("the same settings give the same report, and good versions end otherwise than bad ones") {
            val settings =
                MovesSettings(
                    seeds = 10,
                    workloads = MoveWorkload.DEFAULTS.take(1),
                    presets = listOf(MovePreset.AVAILABILITY),
                    kinds = listOf(VersionKind.GOOD, VersionKind.BAD_AT_ONCE),
                    hasBaseline = false,
                )
            val report = MovesMeasurement().run(settings)
            report shouldBe MovesMeasurement().run(settings)
            val (good, bad) = report.rows
            (good.goodMovedInTime > good.goodMoves / 2) shouldBe true
            (bad.badTakenBack > bad.badMoves / 2) shouldBe true
            report.toTable().lines().count { it.startsWith("| oven") } shouldBe 2
        }
    })
