package io.limpetfold.dispatch

import java.time.Duration

/**
 * Weights and bounds of an [EndpointPicker].
 *
 * @property loadBound an endpoint with a cached prefix is passed over when its own calls exceed this multiple of the mean.
 * @property loadMargin calls above the bound that are always allowed, because the means of single routers are small.
 * @property otherZoneLoad calls per slot by which an endpoint of the own zone may be busier before another zone is chosen.
 * @property firstEjection how long an endpoint is left alone after a failure; doubles with each further one up to [maxEjection].
 * @property fullPause how long an endpoint that refused a call as full is passed over.
 * @property failureWindow weight of the newest outcome in the failure share.
 * @property failureShareBound an endpoint whose failure share is above it, and twice as high as the others', is passed over.
 */
data class PickerPolicy(
    val loadBound: Double = 1.5,
    val loadMargin: Int = 3,
    val otherZoneLoad: Double = 0.25,
    val firstEjection: Duration = FIRST_EJECTION,
    val maxEjection: Duration = Duration.ofSeconds(3),
    val fullPause: Duration = FULL_PAUSE,
    val failureWindow: Double = 0.15,
    val failureShareBound: Double = 0.3,
) {
    private companion object {
        val FIRST_EJECTION: Duration = Duration.ofMillis(400)
        val FULL_PAUSE: Duration = Duration.ofMillis(150)
    }
}
