package io.limpetfold.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.util.stream.LongStream

/**
 * Guards against a move that leaves its outcome, completes too late, is not in force on a router that can hear of it, exceeds its allotment,
 * or reaches a version after the verdict. Set the property `limpetfold.seed` to repeat one schedule.
 */
class MoveSchedulePropertyTest :
    FunSpec({
        // Parts, because one test for all schedules runs into the time limit of a test on a busy machine.
        val only = System.getProperty("limpetfold.seed")?.toLong()
        val parts = if (only == null) (0 until PARTS).toList() else listOf(0L)
        for (part in parts) test("no schedule of kills, pauses, partitions, outages and racing operators breaks a rule of moves, part $part") {
            val seeds = if (only == null) LongStream.range(part * SCHEDULES, (part + 1) * SCHEDULES) else LongStream.of(only)
            val fleets = seeds.parallel().mapToObj { seed -> MoveFleet(seed).also { it.run() } }.toList()
            val failures = fleets.filter { it.violation != null }
            val outcomes = fleets.flatMap { it.outcomes }.groupingBy { describe(it) }.eachCount()
            println("moves: ${fleets.size} schedules, ${failures.size} failures, outcomes $outcomes")
            failures.take(1).map { it.report() }.shouldBeEmpty()
            // A schedule in which no move completes would prove nothing about completed moves.
            if (only == null) (outcomes["Completed"] ?: 0) shouldBeGreaterThan (SCHEDULES / 10).toInt()
        }
    }) {
    private companion object {
        const val PARTS = 4L

        /** Schedules of one part. */
        const val SCHEDULES = 750L

        fun describe(phase: MovePhase): String =
            if (phase is MovePhase.TakenBack) phase.reason::class.simpleName.orEmpty() else phase::class.simpleName.orEmpty()
    }
}
