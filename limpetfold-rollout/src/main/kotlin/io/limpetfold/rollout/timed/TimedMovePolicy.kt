package io.limpetfold.rollout.timed

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Schedule and error rate of a [TimedMove]; times are shares of the ordered duration.
 *
 * Before the third step the new version receives 0.08 x 0.35 + 0.3 x 0.2 = 9 % of the calls of the whole duration, so
 * that a bad version that is found by then receives less than a tenth of them.
 *
 * @property steps weights of the new version by the share of the duration that has passed.
 * @property completeFrom from this share on the move may complete, once no call is in flight to the old version.
 * @property completeUntil at this share the move completes even if calls are in flight to the old version. If the
 *   completion is not stored shortly after, the move counts as taken back.
 * @property decisionDelayShare how much longer each further router waits before it writes an outcome that the routers
 *   ranked before it have not written.
 * @property minOutcomes outcomes of the new version without which the move does not complete.
 * @property errorRate upper bound on the probability that a version no worse than the old one is taken back.
 * @property guardCount the number of guards over which the error rate is divided: one for each route and router.
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
        /** Calls keep going to the old version until the last step, because the guard compares both versions. */
        val STEPS = persistentListOf(Step(0.0, 0.08), Step(0.35, 0.3), Step(0.55, 0.9), Step(0.75, 1.0))
    }
}
