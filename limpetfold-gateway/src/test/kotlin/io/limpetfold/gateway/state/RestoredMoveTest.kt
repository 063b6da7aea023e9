package io.limpetfold.gateway.state

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.limpetfold.rollout.timed.MoveStatus
import io.limpetfold.testing.FakeObjectStore
import kotlin.random.Random

/** Moves on a store that is restored from an older copy, at seeded times around orders and outcomes. */
class RestoredMoveTest :
    FunSpec({
        // The order of a finished move came back without its status and began a new trial, or was taken back as overdue.
        test("guards against an outcome that a restore changes, delays past the deadline or leaves out of the store") {
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                val fleet =
                    RestoredMoveFleet(
                        Random(seed + SEEDS),
                        badTargets = if (random.nextBoolean()) setOf("v2") else emptySet(),
                    )
                withClue("seed $seed") {
                    fleet.run(3_000)
                    val startedMillis = fleet.nowMillis
                    var copy = fleet.copy()
                    if (random.nextBoolean()) fleet.order("v2")
                    var isOrdered = random.nextBoolean()
                    repeat(1 + random.nextInt(2)) {
                        if (isOrdered) copy = fleet.copy()
                        fleet.order("v2")
                        isOrdered = true
                        fleet.run(random.nextLong(14_000))
                        if (random.nextBoolean()) copy = fleet.copy()
                        fleet.run(random.nextLong(5_000))
                        restore(fleet, copy, random)
                    }
                    val isLate = fleet.nowMillis > startedMillis + RestoredMoveFleet.DURATION_MILLIS
                    val limitMillis =
                        if (isLate) {
                            3_000
                        } else {
                            startedMillis + RestoredMoveFleet.DURATION_MILLIS -
                                fleet.nowMillis
                        }
                    fleet.run(limitMillis)
                    checkOutcome(fleet, "v2")
                }
            }
        }

        test("guards against an outcome that is lost in a restore together with the router that has just stored it") {
            var checkedCount = 0
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                val badTargets = mutableSetOf<String>()
                val fleet = RestoredMoveFleet(Random(seed + SEEDS), badTargets)
                withClue("seed $seed") {
                    fleet.run(3_000)
                    fleet.order("v2")
                    fleet.run(random.nextLong(1_000, 6_000))
                    val copy = fleet.copy()
                    val writer = fleet.runUntilStored()
                    if (writer != null) {
                        val stored = fleet.storedStatus()
                        // The routers that are left would decide otherwise now.
                        badTargets += "v2"
                        fleet.restart(writer)
                        fleet.restore(copy)
                        fleet.run(RestoredMoveFleet.DURATION_MILLIS)
                        fleet.storedStatus() shouldBe stored
                        checkedCount++
                    }
                }
            }
            checkedCount shouldBeGreaterThan SEEDS / 2
        }

        test(
            "guards against a replaced order that comes back and begins a new trial of a version that was taken back",
        ) {
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                val fleet = RestoredMoveFleet(Random(seed + SEEDS), badTargets = setOf("v2"))
                withClue("seed $seed") {
                    fleet.run(3_000)
                    fleet.order("v2")
                    fleet.run(random.nextLong(4_000))
                    val copy = fleet.copy()
                    fleet.run(8_000)
                    fleet.outcome("v2") shouldBe MoveStatus.TAKEN_BACK
                    fleet.order("v3")
                    val startedMillis = fleet.nowMillis
                    fleet.run(random.nextLong(14_000))
                    restore(fleet, copy, random)
                    val endMillis = maxOf(fleet.nowMillis + 3_000, startedMillis + RestoredMoveFleet.DURATION_MILLIS)
                    fleet.run(endMillis - fleet.nowMillis)
                    checkOutcome(fleet, "v3")
                    fleet.outcome("v2") shouldBe MoveStatus.TAKEN_BACK
                    fleet.shares("v2") shouldContainOnly listOf(0.0)
                }
            }
        }
    })

private const val SEEDS = 150

/** Restores [copy], with routers cut off or restarted around it; two routers go on with all that they know. */
private suspend fun restore(
    fleet: RestoredMoveFleet,
    copy: FakeObjectStore.Copy,
    random: Random,
) {
    val disturbed =
        (0 until RestoredMoveFleet.ROUTERS).shuffled(random).take(
            random.nextInt(
                RestoredMoveFleet.ROUTERS - 1,
            ),
        )
    disturbed.filter { random.nextBoolean() }.forEach(fleet::cutOff)
    val writes = fleet.storeWrites
    fleet.restore(copy)
    disturbed.filter { random.nextInt(3) == 0 }.forEach(fleet::restart)
    fleet.run(random.nextLong(3_000))
    fleet.order()
    fleet.run(1_000 + random.nextLong(1_000))
    fleet.reconnectAll()
    // The operator's order, and the status of each of two orders as running and as ended.
    withClue("writes after the restore") { fleet.storeWrites - writes shouldBeLessThanOrEqual 5 }
}

private suspend fun checkOutcome(
    fleet: RestoredMoveFleet,
    target: String,
) {
    val outcome = fleet.outcome(target).shouldNotBeNull()
    fleet.storedStatus() shouldBe outcome
    fleet.run(3_000)
    fleet.storedStatus() shouldBe outcome
    fleet.shares(target) shouldContainOnly listOf(if (outcome == MoveStatus.COMPLETED) 1.0 else 0.0)
}
