package io.limpetfold.burn

import java.time.Duration

/**
 * A window of the burn report.
 *
 * @property alertAt the burn rate from which operators are called: the short windows catch a fast burn within minutes, the long ones a
 *   slow burn that would still spend the error budget of 30 days too early.
 */
enum class BurnWindow(
    val length: Duration,
    val alertAt: Double,
) {
    FIVE_MINUTES(Duration.ofMinutes(5), 14.4),
    ONE_HOUR(Duration.ofHours(1), 6.0),
    SIX_HOURS(Duration.ofHours(6), 1.0),
    ;

    /** The name in reports, as in `1h`. */
    val label: String get() = if (length.toHours() > 0) "${length.toHours()}h" else "${length.toMinutes()}m"
}
