package io.limpetfold.rollout

import kotlin.math.exp
import kotlin.math.ln

/**
 * A sequential test of two streams of outcomes: is the share of bad ones larger in the new stream than in the old one?
 *
 * Outcomes are taken in blocks of old and new ones from the same window. For each alternative (a, b) of shares in the old and new stream
 * the block multiplies an e-value by the likelihood under (a, b) over the likelihood under the weighted mean of both. Its expectation is
 * at most 1 for every pair of true shares in which the new one is not larger, whatever the sizes, so by Ville's inequality the mean over the
 * alternatives ever reaches 1/r with a probability of at most r. The test may therefore be evaluated after every outcome, and e-values of
 * independent routers may be multiplied.
 *
 * Outcomes are assumed independent given their stream. Not safe for concurrent use.
 */
internal class SequentialComparison(
    private val priorShare: Double,
) {
    private val logs = DoubleArray(ALTERNATIVES.size)
    private val pendingOld = ArrayDeque<Boolean>()
    private val pendingNew = ArrayDeque<Boolean>()
    private var oldCount = 0L
    private var oldBad = 0L

    /** Logarithms of the e-values, one for each alternative. */
    val logEvidence: List<Double> get() = logs.toList()

    fun add(
        side: MoveSide,
        isBad: Boolean,
    ) {
        when (side) {
            MoveSide.OLD -> pendingOld += isBad
            MoveSide.NEW -> pendingNew += isBad
        }
        if (pendingOld.size > MAX_PENDING) learn(pendingOld.removeFirst())
        if (pendingNew.size > MAX_PENDING) pendingNew.removeFirst()
        if (pendingOld.isNotEmpty() && pendingNew.isNotEmpty()) closeBlock()
    }

    private fun closeBlock() {
        val old = pendingOld.size
        val new = pendingNew.size
        val oldBadCount = pendingOld.count { it }
        val newBadCount = pendingNew.count { it }
        // The bet of a block rests on earlier outcomes only.
        val a = (oldBad + priorShare * PRIOR_COUNT) / (oldCount + PRIOR_COUNT)
        ALTERNATIVES.forEachIndexed { index, excess ->
            val b = a + (1 - a) * excess
            val mean = (old * a + new * b) / (old + new)
            logs[index] += oldBadCount * ln(a / mean) + (old - oldBadCount) * ln((1 - a) / (1 - mean)) +
                newBadCount * ln(b / mean) + (new - newBadCount) * ln((1 - b) / (1 - mean))
        }
        pendingOld.forEach(::learn)
        pendingOld.clear()
        pendingNew.clear()
    }

    private fun learn(isBad: Boolean) {
        oldCount++
        if (isBad) oldBad++
    }

    companion object {
        /** Alternatives: the part of the old version's good outcomes that turn bad. */
        private val ALTERNATIVES = doubleArrayOf(0.05, 0.2, 0.5, 0.9)

        /** The number of alternatives. */
        val ALTERNATIVE_COUNT = ALTERNATIVES.size

        /** Keeps the two parts of a block in the same window of time. */
        private const val MAX_PENDING = 20
        private const val PRIOR_COUNT = 20.0

        /** Returns the logarithm of the mean of e-values that are given by their logarithms. */
        fun logMean(logs: List<Double>): Double {
            val largest = logs.max()
            return largest + ln(logs.sumOf { exp(it - largest) } / logs.size)
        }
    }
}
