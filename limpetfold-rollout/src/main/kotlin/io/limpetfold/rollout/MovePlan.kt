package io.limpetfold.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * The steps of a move, fixed at its start and stored with it, so that every controller and router uses the same.
 *
 * @property errorRate upper bound on the probability that a version no worse than the old one is rolled back on evidence; half of it is
 *   spent by the controller's pooled test, half by the local guards of up to [guardCount] routers.
 * @property minOutcomes outcomes of the new version without which the move does not complete.
 */
@Serializable
data class MovePlan(
    val preset: MovePreset,
    val steps: List<MoveStep>,
    val errorRate: Double,
    @SerialName("leastOutcomes")
    val minOutcomes: Long,
    val guardCount: Int = 8,
) {
    companion object {
        /** The propagation bound: `Completed` is in force everywhere this long after it was written. */
        val PROPAGATION: Duration = Duration.ofSeconds(18)

        /** The platform applies or drops a write within this time; `Completed` is sent no later than this before its limit. */
        val WRITE_BOUND: Duration = Duration.ofSeconds(4)

        /** Moves with less time than this between start and deadline are refused. */
        val LEAST_DURATION: Duration = Duration.ofSeconds(60)

        /** The share of the usable time by which the last step ends, so that a failed write of `Completed` can be repeated. */
        private const val STEPS_SHARE = 0.92

        private val AVAILABILITY =
            listOf(
                Shape(weight = 0.05, allotted = 24, evidence = 12, share = 0.15, maxHoldSeconds = 30),
                Shape(weight = 0.25, allotted = 80, evidence = 40, share = 0.25, maxHoldSeconds = 60),
                Shape(weight = 0.50, allotted = 160, evidence = 80, share = 0.30, maxHoldSeconds = 90),
                Shape(weight = 0.90, allotted = 300, evidence = 120, share = 0.30, maxHoldSeconds = 180),
            )
        private val EXPOSURE =
            listOf(
                Shape(weight = 0.02, allotted = 12, evidence = 8, share = 0.12, maxHoldSeconds = 60),
                Shape(weight = 0.10, allotted = 40, evidence = 24, share = 0.18, maxHoldSeconds = 120),
                Shape(weight = 0.30, allotted = 120, evidence = 60, share = 0.20, maxHoldSeconds = 180),
                Shape(weight = 0.60, allotted = 200, evidence = 80, share = 0.25, maxHoldSeconds = 300),
                Shape(weight = 0.90, allotted = 300, evidence = 120, share = 0.25, maxHoldSeconds = 300),
            )

        /** Builds the plan of [preset] for a move that lasts [duration] from its start to its deadline. */
        fun create(
            preset: MovePreset,
            duration: Duration,
        ): MovePlan {
            val usableMillis = (duration - PROPAGATION - WRITE_BOUND).toMillis() * STEPS_SHARE
            val shapes = if (preset == MovePreset.AVAILABILITY) AVAILABILITY else EXPOSURE
            var endShare = 0.0
            val steps =
                shapes.map {
                    endShare += it.share
                    val hold = minOf(usableMillis * it.share * HOLD_SHARE, it.maxHoldSeconds * 1000.0)
                    MoveStep(it.weight, it.allotted, it.evidence, hold.toLong(), (usableMillis * endShare).toLong())
                }
            return when (preset) {
                MovePreset.AVAILABILITY -> MovePlan(preset, steps, errorRate = 0.01, minOutcomes = 3)
                MovePreset.EXPOSURE -> MovePlan(preset, steps, errorRate = 0.02, minOutcomes = 6)
            }
        }

        /** Leaves time in each step for outcomes that arrive late. */
        private const val HOLD_SHARE = 0.95

        private class Shape(
            val weight: Double,
            val allotted: Long,
            val evidence: Long,
            val share: Double,
            val maxHoldSeconds: Long,
        )
    }
}
