package io.limpetfold.rollout

/**
 * A window of the latest durations of the old version, from which the threshold for slow durations is derived.
 *
 * The threshold depends on earlier durations only, so a duration of either version never influences the threshold that
 * it is compared with.
 */
internal class DurationWindow {
    private val values = ArrayDeque<Long>()
    private var untilRefresh = 0

    /** Durations above this count as slow; null until [MIN_COUNT] durations are known. */
    var thresholdNanos: Long? = null
        private set

    fun add(nanos: Long) {
        values += nanos
        if (values.size > MAX_COUNT) values.removeFirst()
        if (--untilRefresh > 0 || values.size < MIN_COUNT) return
        val sorted = values.sorted()
        thresholdNanos = (sorted[(sorted.size * QUANTILE).toInt()] * TOLERANCE).toLong()
        untilRefresh = REFRESH_COUNT
    }

    private companion object {
        const val MIN_COUNT = 10
        const val MAX_COUNT = 200
        const val REFRESH_COUNT = 20

        /** With a high quantile few old requests count as slow, so that each slow new one is stronger evidence. */
        const val QUANTILE = 0.8

        /** A new version that is slower by up to this factor has a share of slow requests of at most 1 - [QUANTILE]. */
        const val TOLERANCE = 1.2
    }
}
