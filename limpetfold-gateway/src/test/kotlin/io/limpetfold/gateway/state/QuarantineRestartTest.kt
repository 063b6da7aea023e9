package io.limpetfold.gateway.state

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/**
 * Load pattern: calls with a part that crashes endpoints among sound ones, for 80 s, while all routers lose power every
 * few seconds, single routers are killed, and the store is away for a while.
 */
class QuarantineRestartTest :
    FunSpec({
        // Crashes and quarantines were kept in memory only, so that each restart of all routers cost three endpoints more.
        test("guards against more than three calls with the part 3 s after the fifth crash, across restarts") {
            var restarts = 0
            for (seed in 1..60) {
                val fleet = RestartingFleet(Random(seed), crashingShare = 0.012)
                fleet.play()
                restarts += fleet.restarts
                withClue("seed $seed, crashes ${fleet.crashes}, restarts ${fleet.restartTimes}") {
                    fleet.sentAfterFifthCrash() shouldBeLessThanOrEqual 3
                    fleet.refusedSoundCalls shouldBeLessThanOrEqual fleet.soundCalls / 100
                    fleet.storeWrites shouldBeLessThanOrEqual 40 + 4 * fleet.crashes.size
                }
            }
            restarts shouldBeGreaterThan 300
        }

        test("guards against sound parts that are blamed for what was stored before restarts") {
            for (seed in 1..30) {
                val fleet = RestartingFleet(Random(seed), crashingShare = 0.0)
                fleet.play()
                withClue("seed $seed") { fleet.refusedSoundCalls shouldBe 0 }
            }
        }

        test("guards against calls to the store while nothing is known, but for the list at each start") {
            val fleet = RestartingFleet(Random(1), crashingShare = 0.0, hasOtherLosses = false)
            fleet.play()
            fleet.storeCalls shouldBe fleet.starts
        }

        test("guards against a quarantine whose time is over and that a restart brings back") {
            val fleet = quarantinedFleet()
            fleet.restartAll()
            fleet.play(endMillis = fleet.nowMillis + 20_000)
            fleet.isQuarantined() shouldBe true
            fleet.skip(minutes = 11)
            fleet.restartAll()
            fleet.play(endMillis = fleet.nowMillis + 10_000)
            fleet.isQuarantined() shouldBe false
        }

        test("guards against a quarantine that an answer has ended and that a restart brings back") {
            val fleet = quarantinedFleet()
            fleet.answerCrashingPart()
            fleet.skip(seconds = 2)
            fleet.restartAll()
            fleet.play(endMillis = fleet.nowMillis + 10_000)
            fleet.isQuarantined() shouldBe false
        }

        // Versions of before the restore hid that the copy lacked the object, so that no router wrote it again.
        test("guards against a quarantine that a restore of the store removes and a restart then forgets") {
            var quarantined = 0
            for (seed in 1..60) {
                val restores = Random(seed)
                val fleet = RestartingFleet(Random(seed), crashingShare = 0.05, hasOtherLosses = false)
                var copy = fleet.copyStore()
                repeat(restores.nextInt(1, 8)) {
                    if (restores.nextBoolean()) copy = fleet.copyStore()
                    fleet.play(endMillis = fleet.nowMillis + 1_000 + restores.nextLong(3_000))
                }
                fleet.stopCrashing()
                fleet.skip(seconds = 3)
                if (!fleet.isQuarantined()) continue
                quarantined++
                withClue("seed $seed") {
                    val callsBefore = fleet.storeCalls
                    val writesBefore = fleet.storeWrites
                    repeat(1 + restores.nextInt(2)) {
                        fleet.restoreStore(copy, restores)
                        fleet.skip(seconds = 10)
                    }
                    fleet.storeWrites - writesBefore shouldBeLessThanOrEqual 6
                    fleet.storeCalls - callsBefore shouldBeLessThanOrEqual 50
                    fleet.restartAll()
                    fleet.play(endMillis = fleet.nowMillis + 5_000)
                    fleet.isQuarantined() shouldBe true
                }
            }
            quarantined shouldBeGreaterThan 20
        }
    })

/** A fleet that has found the part; no call contains it from now on. */
private suspend fun quarantinedFleet(): RestartingFleet {
    val fleet = RestartingFleet(Random(1), crashingShare = 0.05)
    fleet.play(endMillis = 20_000)
    fleet.isQuarantined() shouldBe true
    fleet.stopCrashing()
    return fleet
}
