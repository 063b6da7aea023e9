package io.limpetfold.rollout.timed

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Steps of a [TimedMove], as shares of the ordered duration.
 *
 * Until the third step a version gets 0.08 x 0.35 + 0.3 x 0.2 = 9 % of the calls of the whole duration, so that a bad one that is found by then
 * stays below a tenth.
 *
 * @property steps weights of the new version by the share of the duration that has passed.
 * @property completeFrom from this share on the move may complete, once no call runs at the old version.
 * @property completeUntil at this share the move completes although calls still run at the old version; without a report that it did,
 * it is taken back.
 * @property decisionDelayShare each further router waits this much longer before it writes the outcome that another one should have written.
 * @property minOutcomes answers of the new version without which the move does not complete.
 * @property errorRate the bound on the probability that a version no worse than the old one is taken back.
 * @property guardCount the guards over which the error rate is divided: one for each route and router.
 */
data class TimedMovePolicy(
    val steps: ImmutableList<Step> = STEPS,
    val completeFrom: Double = 0.75,
    val completeUntil: Double = 0.92,
    val decisionDelayShare: Double = 0.01,
    val minOutcomes: Long = 5,
    val errorRate: Double = 0.02,
    val guardCount: Int = 32,
) {
    /** From the share [from] of the duration on, [weight] is the new version's share of the calls. */
    data class Step(
        val from: Double,
        val weight: Double,
    )

    private companion object {
        /** Until completion some calls stay at the old version, because the guard compares both. */
        val STEPS = persistentListOf(Step(0.0, 0.08), Step(0.35, 0.3), Step(0.55, 0.9), Step(0.75, 1.0))
    }
}
