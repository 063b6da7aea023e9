package io.limpetfold.measure.moves

import io.limpetfold.rollout.VersionObservation
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlin.random.Random

/**
 * Baseline: four steps of equal length, and a rollback if more than 5% of the latest 100 outcomes (at least 20) failed.
 *
 * The baseline has an advantage: it sees every outcome immediately, without routers or messages between them.
 */
internal class FixedSteps(
    private val clock: TestClock,
    duration: Duration,
    private val random: Random,
) : MoveStrategy {
    private val startMillis = clock.millis()
    private val stepMillis = (duration.toMillis() - DEADLINE_MARGIN_MILLIS) / WEIGHTS.size
    private val latestOutcomes = List(MoveSimulation.ROUTES) { ArrayDeque<Boolean>() }
    private val outcomes = arrayOfNulls<Boolean>(MoveSimulation.ROUTES)
    private val step get() = ((clock.millis() - startMillis) / stepMillis).toInt()

    override fun maintain() {
        for (route in outcomes.indices) {
            if (outcomes[route] != null) continue
            val failures = latestOutcomes[route].count { !it }
            val isOverThreshold =
                latestOutcomes[route].size >= MIN_OUTCOMES && failures > latestOutcomes[route].size * MAX_FAILURE_SHARE
            outcomes[route] =
                if (isOverThreshold) {
                    false
                } else if (step >= WEIGHTS.size) {
                    true
                } else {
                    null
                }
        }
    }

    override fun choose(
        router: Int,
        route: Int,
        request: Int,
    ): MoveStrategy.Choice {
        val weight = WEIGHTS[minOf(step, WEIGHTS.lastIndex)]
        return MoveStrategy.Choice(router, route, outcomes[route] ?: (random.nextDouble() < weight))
    }

    override fun record(
        choice: MoveStrategy.Choice,
        observation: VersionObservation,
    ) {
        if (!choice.isNew) return
        latestOutcomes[choice.route] += observation.isSuccess
        if (latestOutcomes[choice.route].size > WINDOW) latestOutcomes[choice.route].removeFirst()
    }

    override fun hasCompleted(route: Int): Boolean? = outcomes[route]

    private companion object {
        val WEIGHTS = listOf(0.05, 0.25, 0.5, 0.9)
        const val MAX_FAILURE_SHARE = 0.05
        const val MIN_OUTCOMES = 20
        const val WINDOW = 100
        const val DEADLINE_MARGIN_MILLIS = 25_000
    }
}
