package io.limpetfold.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.util.stream.LongStream

/**
 * Guards against moves that change their outcome, complete too late, are not applied by a router that can learn of the
 * outcome, exceed their allotment, or send requests to the new version after a verdict.
 *
 * Set the system property `limpetfold.seed` to run a single schedule again.
 */
class MoveSchedulePropertyTest :
    FunSpec({
        // Split into parts, because a single test for all schedules exceeds the timeout of a test on a busy machine.
        val singleSeed = System.getProperty("limpetfold.seed")?.toLong()
        val parts = if (singleSeed == null) (0 until PARTS).toList() else listOf(0L)
        for (part in parts) {
            test(
                "no schedule of kills, pauses, partitions, outages and racing operators violates an invariant of moves, part $part",
            ) {
                val seeds =
                    if (singleSeed ==
                        null
                    ) {
                        LongStream.range(part * SCHEDULES, (part + 1) * SCHEDULES)
                    } else {
                        LongStream.of(singleSeed)
                    }
                val fleets = seeds.parallel().mapToObj { seed -> MoveFleet(seed).also { it.run() } }.toList()
                val failures = fleets.filter { it.violation != null }
                val outcomes = fleets.flatMap { it.outcomes }.groupingBy { describe(it) }.eachCount()
                println("moves: ${fleets.size} schedules, ${failures.size} failures, outcomes $outcomes")
                failures.take(1).map { it.report() }.shouldBeEmpty()
                // Without completed moves the schedules would not test the invariants of completion.
                if (singleSeed == null) (outcomes["Completed"] ?: 0) shouldBeGreaterThan (SCHEDULES / 10).toInt()
            }
        }
    }) {
    private companion object {
        const val PARTS = 4L

        /** The number of schedules in each part. */
        const val SCHEDULES = 750L

        fun describe(phase: MovePhase): String =
            if (phase is MovePhase.TakenBack) {
                phase.reason::class.simpleName.orEmpty()
            } else {
                phase::class
                    .simpleName
                    .orEmpty()
            }
    }
}
