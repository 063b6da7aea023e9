package io.limpetfold.rollout

/**
 * The latest durations of the old version, from which a duration counts as slow.
 *
 * The threshold rests on earlier durations only, so both versions are counted against a value fixed before.
 */
internal class DurationWindow {
    private val values = ArrayDeque<Long>()
    private var untilRefresh = 0

    /** Durations above this count as slow; null until [LEAST_COUNT] durations are known. */
    var thresholdNanos: Long? = null
        private set

    fun add(nanos: Long) {
        values += nanos
        if (values.size > MAX_COUNT) values.removeFirst()
        if (--untilRefresh > 0 || values.size < LEAST_COUNT) return
        val sorted = values.sorted()
        thresholdNanos = (sorted[(sorted.size * QUANTILE).toInt()] * TOLERANCE).toLong()
        untilRefresh = REFRESH_COUNT
    }

    private companion object {
        const val LEAST_COUNT = 10
        const val MAX_COUNT = 200
        const val REFRESH_COUNT = 20

        /** A high quantile makes few old requests slow, so that each slow new one weighs more. */
        const val QUANTILE = 0.8

        /** The new version may be this much slower before its typical request counts as slow. */
        const val TOLERANCE = 1.2
    }
}
