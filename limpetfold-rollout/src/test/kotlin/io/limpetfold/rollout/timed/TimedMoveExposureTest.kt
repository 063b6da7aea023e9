package io.limpetfold.rollout.timed

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.time.Duration

/**
 * Guards against a policy that exposes a version that turns bad in the first part of a move to more than a tenth of the
 * calls plus fifty. A version that turns bad later can exceed it; see the page on versions that turn bad late.
 */
class TimedMoveExposureTest :
    FunSpec({
        val seeds = 1..20

        for (isSlow in listOf(false, true)) {
            val fault = if (isSlow) "four times slower" else "fails 0.4 of its calls"
            test("guards against too many calls to a version that $fault from any second up to the fifth on") {
                for (turnsBadAfter in 0L..LATEST_SECONDS) {
                    for (seed in seeds) {
                        val fleet =
                            TimedMoveFleet(seed, callsPerTick = BUSY, isBadSlow = isSlow) { _, elapsed, random ->
                                elapsed >= Duration.ofSeconds(turnsBadAfter) && (isSlow || random.nextDouble() < 0.4)
                            }
                        fleet.recordBaseline()
                        fleet.run()
                        withClue("bad after $turnsBadAfter s, seed $seed") {
                            fleet.status shouldBe MoveStatus.TAKEN_BACK
                            fleet.newCalls shouldBeLessThanOrEqualTo (fleet.allCalls / 10 + 50)
                        }
                    }
                }
            }
        }

        test("guards against a good version that is not completed, with little traffic and with much") {
            for (callsPerTick in listOf(LITTLE, BUSY)) {
                val takenBack =
                    seeds.count { seed ->
                        val fleet =
                            TimedMoveFleet(seed, callsPerTick = callsPerTick) { _, _, random ->
                                random.nextDouble() <
                                    0.01
                            }
                        fleet.recordBaseline()
                        fleet.run()
                        fleet.status != MoveStatus.COMPLETED
                    }
                withClue("$callsPerTick calls in 0.2 s") { takenBack shouldBeLessThan 2 }
            }
        }
    }) {
    private companion object {
        /** Calls in 0.2 s: 25 and 150 a second. */
        const val LITTLE = 5
        const val BUSY = 30

        /** Of a move of 12 s. At 6 s single seeds exceed the bound. */
        const val LATEST_SECONDS = 5L
    }
}
