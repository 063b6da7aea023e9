package io.limpetfold.measure.limits

import java.time.Duration

/**
 * What [LimitsMeasurement] runs.
 *
 * @property seats one more than routers, for a replacement that starts early.
 * @property maxWait how long a request waits for a slot.
 */
data class LimitsSettings(
    val seeds: Int = 3,
    val routers: Int = 8,
    val seats: Int = 9,
    val endpoints: Int = 8,
    val maxInFlight: Int = 8,
    val serviceTime: Duration = Duration.ofSeconds(2),
    val maxWait: Duration = Duration.ofSeconds(10),
    val duration: Duration = Duration.ofMinutes(2),
    val roundTrip: Duration = Duration.ofMillis(3),
)
