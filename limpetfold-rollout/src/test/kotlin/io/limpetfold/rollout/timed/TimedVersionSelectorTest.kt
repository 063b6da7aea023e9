package io.limpetfold.rollout.timed

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.time.Duration

/** Guards against moves that miss their deadline, keep a bad version, expose too many calls to it, or take a good one back. */
class TimedVersionSelectorTest :
    FunSpec({
        val seeds = 1..40

        fun fleet(
            seed: Int,
            isNewBad: (Int, Duration, kotlin.random.Random) -> Boolean,
        ) = TimedMoveFleet(seed, isNewBad = isNewBad).also { it.learn() }

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

        test("guards against a version that fails from the start and gets more than a tenth of the calls and fifty") {
            for (seed in seeds) {
                val fleet = fleet(seed) { _, _, random -> random.nextDouble() < 0.5 }
                fleet.run()
                withClue("seed $seed") {
                    fleet.status shouldBe MoveStatus.TAKEN_BACK
                    fleet.newCalls shouldBeLessThanOrEqualTo (fleet.allCalls / 10 + 50)
                    fleet.newShareOf(0) shouldBe 0.0
                }
            }
        }

        test("guards against a fault on one route only that hides among the calls of the others") {
            for (seed in seeds) {
                val fleet = fleet(seed) { route, _, random -> route == 1 && random.nextDouble() < 0.6 }
                fleet.run()
                withClue("seed $seed") { fleet.status shouldBe MoveStatus.TAKEN_BACK }
            }
        }

        test("guards against a version that goes bad at full load and gets calls for longer after its fiftieth bad answer than the bound of 5 s") {
            for (seed in seeds) {
                val fleet = fleet(seed) { _, elapsed, random -> elapsed > Duration.ofSeconds(7) && random.nextDouble() < 0.5 }
                fleet.run()
                withClue("seed $seed") {
                    fleet.status shouldBe MoveStatus.TAKEN_BACK
                    // Fifty calls a second reach the fleet.
                    fleet.callsAfterFifty.shouldBeLessThan(5 * 50)
                }
            }
        }

        test("guards against a router that is cut off and goes on sending to the old version, or to the new one after the deadline") {
            val fleet = fleet(1) { _, _, _ -> false }
            fleet.run(0.3)
            fleet.cutOff += 3
            fleet.run(0.6)
            fleet.newShareOf(3) shouldBeGreaterThan 0.8
            fleet.run(0.2)
            fleet.newShareOf(3) shouldBe 0.0
        }

        test("guards against an outcome that changes after it was reported") {
            val fleet = fleet(2) { _, _, _ -> false }
            fleet.run()
            fleet.status shouldBe MoveStatus.COMPLETED
            fleet.run()
            fleet.status shouldBe MoveStatus.COMPLETED
            fleet.newShareOf(0) shouldBe 1.0
        }
    })
