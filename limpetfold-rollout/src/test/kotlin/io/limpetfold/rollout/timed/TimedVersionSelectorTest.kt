package io.limpetfold.rollout.timed

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.time.Duration

/** Guards against ordered moves that miss their deadline, keep or overexpose a bad version, or take a good one back. */
class TimedVersionSelectorTest :
    FunSpec({
        val seeds = 1..40

        fun fleet(
            seed: Int,
            isNewBad: (Int, Duration, kotlin.random.Random) -> Boolean,
        ) = TimedMoveFleet(seed, isNewBad = isNewBad).also { it.recordBaseline() }

        test("guards against a good version that is not completed by the deadline") {
            val takenBack =
                seeds.count { seed ->
                    val fleet = fleet(seed) { _, _, random -> random.nextDouble() < 0.01 }
                    fleet.run()
                    fleet.status != MoveStatus.COMPLETED
                }
            // The policy's error rate is 0.02; of 40 seeds it allows one.
            takenBack.shouldBeLessThan(2)
        }

        test("guards against a version that fails from the start and gets more than a tenth of the calls plus fifty") {
            for (seed in seeds) {
                val fleet = fleet(seed) { _, _, random -> random.nextDouble() < 0.5 }
                fleet.run()
                withClue("seed $seed") {
                    fleet.status shouldBe MoveStatus.TAKEN_BACK
                    fleet.newCalls shouldBeLessThanOrEqualTo (fleet.allCalls / 10 + 50)
                    fleet.newVersionShare(0) shouldBe 0.0
                }
            }
        }

        test("guards against a fault on one route that is masked by the calls of the others") {
            for (seed in seeds) {
                val fleet = fleet(seed) { route, _, random -> route == 1 && random.nextDouble() < 0.6 }
                fleet.run()
                withClue("seed $seed") { fleet.status shouldBe MoveStatus.TAKEN_BACK }
            }
        }

        test(
            "guards against a version that starts to fail at full load and gets calls for more than 5 s after its fiftieth failure",
        ) {
            for (seed in seeds) {
                val fleet =
                    fleet(seed) { _, elapsed, random ->
                        elapsed > Duration.ofSeconds(7) &&
                            random.nextDouble() < 0.5
                    }
                fleet.run()
                withClue("seed $seed") {
                    fleet.status shouldBe MoveStatus.TAKEN_BACK
                    // Fifty calls a second reach the fleet.
                    fleet.callsAfterFiftyFailures.shouldBeLessThan(5 * 50)
                }
            }
        }

        test(
            "guards against a partitioned router that keeps sending to the old version, or to the new one after the deadline",
        ) {
            val fleet = fleet(1) { _, _, _ -> false }
            fleet.run(0.3)
            fleet.partitioned += 3
            fleet.run(0.6)
            fleet.newVersionShare(3) shouldBeGreaterThan 0.8
            fleet.run(0.2)
            fleet.newVersionShare(3) shouldBe 0.0
        }

        test("guards against an outcome that changes after it was stored") {
            val fleet = fleet(2) { _, _, _ -> false }
            fleet.run()
            fleet.status shouldBe MoveStatus.COMPLETED
            fleet.run()
            fleet.status shouldBe MoveStatus.COMPLETED
            fleet.newVersionShare(0) shouldBe 1.0
        }
    })
