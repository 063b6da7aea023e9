package io.limpetfold.burn

import java.time.Duration

/**
 * A time window of the service-level burn report.
 *
 * @property alertBurnRate the burn rate from which operators are alerted. The short windows detect a fast burn within
 *   minutes; the long ones detect a slow burn that would still spend the error budget of 30 days too early.
 */
enum class SloBurnWindow(
    val length: Duration,
    val alertBurnRate: Double,
) {
    FIVE_MINUTES(Duration.ofMinutes(5), 14.4),
    ONE_HOUR(Duration.ofHours(1), 6.0),
    SIX_HOURS(Duration.ofHours(6), 1.0),
    ;

    /** The name of the window in reports, as in `1h`. */
    val label: String get() = if (length.toHours() > 0) "${length.toHours()}h" else "${length.toMinutes()}m"
}
