package io.limpetfold.measure.overhead

import java.time.Duration

/**
 * Settings of [OverheadMeasurement].
 *
 * @property rates requests per second; each rate gives one row for the direct path and one for the router.
 * @property tokens tokens of each response.
 * @property duration how long requests arrive for one row.
 */
data class OverheadSettings(
    val rates: List<Int> = listOf(10, 50, 100, 200, 400),
    val tokens: Int = 20,
    val duration: Duration = Duration.ofSeconds(8),
)
