package io.limpetfold.dispatch

import java.time.Duration

/**
 * Weights and limits of an [EndpointPicker].
 *
 * @property maxLoadFactor the endpoint preferred by affinity is passed over when its calls in flight reach this
 * multiple of the mean plus [loadMargin].
 * @property loadMargin calls that are always allowed above that multiple, because the mean of a single router is small.
 * @property coldLoadFactor how many calls one call counts as at an endpoint that is slow after its start.
 * @property otherZonePenalty load, in calls per slot, that is added to endpoints of other zones when the least loaded
 * one is chosen.
 * @property firstEjection how long an endpoint is ejected after a call without a response; doubles with each
 * consecutive one, up to [maxEjection].
 * @property rejectionPause how long an endpoint that rejected a call is ejected.
 * @property failureSmoothing weight of the newest outcome in the moving average of failures.
 * @property maxFailureShare an endpoint is passed over, except for a few calls, when its failure share is above this
 * and above twice the median.
 * @property noticeRetention how long an endpoint that is leaving or has stated a limit is remembered while it is not in
 * the directory.
 */
data class PickerPolicy(
    val maxLoadFactor: Double = 1.5,
    val loadMargin: Int = 3,
    val coldLoadFactor: Double = 2.0,
    val otherZonePenalty: Double = 0.25,
    val firstEjection: Duration = FIRST_EJECTION,
    val maxEjection: Duration = Duration.ofSeconds(3),
    val rejectionPause: Duration = REJECTION_PAUSE,
    val failureSmoothing: Double = 0.15,
    val maxFailureShare: Double = 0.3,
    val noticeRetention: Duration = Duration.ofMinutes(10),
) {
    private companion object {
        val FIRST_EJECTION: Duration = Duration.ofMillis(400)
        val REJECTION_PAUSE: Duration = Duration.ofMillis(150)
    }
}
