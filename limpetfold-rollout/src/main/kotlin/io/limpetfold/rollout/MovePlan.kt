package io.limpetfold.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * The steps of a move, fixed at its start and stored with it, so that every controller and router uses the same.
 *
 * @property errorRate upper bound on the probability that a version no worse than the old one is rolled back on
 *   evidence; half of it is allotted to the controller's pooled test, half to the local guards of up to [guardCount]
 *   routers.
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
        /** Upper bound on the time from the write of `Completed` until every router applies it. */
        val PROPAGATION_BOUND: Duration = Duration.ofSeconds(18)

        /**
         * The platform applies or drops a write within this time.
         *
         * `Completed` is therefore sent at least this long before the latest time at which it may take effect.
         */
        val WRITE_BOUND: Duration = Duration.ofSeconds(4)

        /** The shortest time between start and deadline; shorter moves are refused. */
        val MIN_DURATION: Duration = Duration.ofSeconds(60)

        /** The last step ends by this share of the usable time, so that a failed write of `Completed` is retried. */
        private const val STEPS_SHARE = 0.92

        private val AVAILABILITY =
            listOf(
                StepTemplate(weight = 0.05, allotted = 24, evidence = 12, share = 0.15, maxHoldSeconds = 30),
                StepTemplate(weight = 0.25, allotted = 80, evidence = 40, share = 0.25, maxHoldSeconds = 60),
                StepTemplate(weight = 0.50, allotted = 160, evidence = 80, share = 0.30, maxHoldSeconds = 90),
                StepTemplate(weight = 0.90, allotted = 300, evidence = 120, share = 0.30, maxHoldSeconds = 180),
            )
        private val EXPOSURE =
            listOf(
                StepTemplate(weight = 0.02, allotted = 12, evidence = 8, share = 0.12, maxHoldSeconds = 60),
                StepTemplate(weight = 0.10, allotted = 40, evidence = 24, share = 0.18, maxHoldSeconds = 120),
                StepTemplate(weight = 0.30, allotted = 120, evidence = 60, share = 0.20, maxHoldSeconds = 180),
                StepTemplate(weight = 0.60, allotted = 200, evidence = 80, share = 0.25, maxHoldSeconds = 300),
                StepTemplate(weight = 0.90, allotted = 300, evidence = 120, share = 0.25, maxHoldSeconds = 300),
            )

        /** Builds the plan of [preset] for a move that lasts [duration] from its start to its deadline. */
        fun create(
            preset: MovePreset,
            duration: Duration,
        ): MovePlan {
            val usableMillis = (duration - PROPAGATION_BOUND - WRITE_BOUND).toMillis() * STEPS_SHARE
            val templates = if (preset == MovePreset.AVAILABILITY) AVAILABILITY else EXPOSURE
            var endShare = 0.0
            val steps =
                templates.map {
                    endShare += it.share
                    val hold = minOf(usableMillis * it.share * HOLD_SHARE, it.maxHoldSeconds * 1000.0)
                    MoveStep(it.weight, it.allotted, it.evidence, hold.toLong(), (usableMillis * endShare).toLong())
                }
            return when (preset) {
                MovePreset.AVAILABILITY -> MovePlan(preset, steps, errorRate = 0.01, minOutcomes = 3)
                MovePreset.EXPOSURE -> MovePlan(preset, steps, errorRate = 0.02, minOutcomes = 6)
            }
        }

        /** The share of a step's time for which it is held; the rest is left for outcomes that arrive late. */
        private const val HOLD_SHARE = 0.95

        /** A step whose duration is a [share] of the usable time of the move. */
        private class StepTemplate(
            val weight: Double,
            val allotted: Long,
            val evidence: Long,
            val share: Double,
            val maxHoldSeconds: Long,
        )
    }
}
