package io.limpetfold.measure.limits

import java.time.Duration

/**
 * Settings of [LimitsMeasurement].
 *
 * @property seeds runs for each scenario and policy.
 * @property seats one more than [routers], for a replacement that starts before its predecessor has stopped.
 * @property maxInFlight slots of each endpoint.
 * @property serviceTime mean time that a request occupies a slot.
 * @property maxWait maximum time that a request waits for a slot.
 * @property roundTrip duration of a request to a peer.
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
