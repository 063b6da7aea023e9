package io.limpetfold.measure.overhead

import java.time.Duration

/**
 * What [OverheadMeasurement] runs.
 *
 * @property rates requests a second, one pair of rows each.
 * @property time the arrivals of one row.
 */
data class OverheadSettings(
    val rates: List<Int> = listOf(10, 50, 100, 200, 400),
    val tokens: Int = 20,
    val time: Duration = Duration.ofSeconds(8),
)
