package io.limpetfold.measure.moves

import io.limpetfold.rollout.VersionObservation
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlin.random.Random

/**
 * The baseline: four steps of equal length, and a rollback when more than 5 in 100 of the latest 100 outcomes failed, of at least 20.
 *
 * It sees all outcomes at once, without routers or messages, which favours it.
 */
internal class FixedSteps(
    private val clock: TestClock,
    duration: Duration,
    private val random: Random,
) : MoveStrategy {
    private val startMillis = clock.millis()
    private val stepMillis = (duration.toMillis() - RESERVE_MILLIS) / WEIGHTS.size
    private val latest = List(MoveSimulation.ROUTES) { ArrayDeque<Boolean>() }
    private val outcomes = arrayOfNulls<Boolean>(MoveSimulation.ROUTES)
    private val step get() = ((clock.millis() - startMillis) / stepMillis).toInt()

    override fun maintain() {
        for (route in outcomes.indices) {
            if (outcomes[route] != null) continue
            val failures = latest[route].count { !it }
            val isOver = latest[route].size >= LEAST_OUTCOMES && failures > latest[route].size * THRESHOLD
            outcomes[route] = if (isOver) false else if (step >= WEIGHTS.size) true else null
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
        latest[choice.route] += observation.isSuccess
        if (latest[choice.route].size > WINDOW) latest[choice.route].removeFirst()
    }

    override fun hasCompleted(route: Int): Boolean? = outcomes[route]

    private companion object {
        val WEIGHTS = listOf(0.05, 0.25, 0.5, 0.9)
        const val THRESHOLD = 0.05
        const val LEAST_OUTCOMES = 20
        const val WINDOW = 100
        const val RESERVE_MILLIS = 25_000
    }
}
