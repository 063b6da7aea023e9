package io.limpetfold.measure.moves

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.rollout.MovePreset

class MovesMeasurementTest :
    FunSpec({
        // Guards against a measurement that is not repeatable or whose outcome does not depend on the version.
        test(
            "the same settings give the same report, most good versions are moved to and most bad ones are taken back",
        ) {
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
