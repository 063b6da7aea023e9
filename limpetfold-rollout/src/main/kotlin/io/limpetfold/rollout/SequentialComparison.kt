package io.limpetfold.rollout

import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Compares the shares of bad outcomes in two streams, the old version's and the new one's, by e-values.
 *
 * Outcomes are taken in blocks of old and new ones from the same window. There are two kinds of alternative:
 *
 * - Relative: for shares (a, b) in the old and new stream, a block multiplies the e-value by its likelihood under (a, b) over that under the
 *   weighted mean of both. The expectation is at most 1 for every pair of true shares in which the new one is not larger.
 * - Reference: for a share b of the new stream, a block multiplies it by the likelihood of its new outcomes under b over that under twice
 *   the old version's earlier share (at least an upper bound on it, and [LEAST_REFERENCE]). A block with a bad old outcome can only lower it, because a fault that both
 *   versions share shows there too. The expectation is at most 1 while the new share is at most the reference. Without this kind, little
 *   could be concluded when most requests go to the new version.
 *
 * Outcomes are assumed independent given their stream. [add] returns the logarithms by which a block multiplied the e-values, to be
 * accumulated in [Evidence]. Not safe for concurrent use.
 */
internal class SequentialComparison(
    private val priorShare: Double,
) {
    private val logs = DoubleArray(ALTERNATIVE_COUNT)
    private val pendingOld = ArrayDeque<Boolean>()
    private val pendingNew = ArrayDeque<Boolean>()
    private var oldCount = 0L
    private var oldBad = 0L

    /** Logarithms of the e-values since the start, one for each alternative. */
    val logEvidence: List<Double> get() = logs.toList()

    /** Adds one outcome; returns the block's logarithms when it closes a block. */
    fun add(
        side: MoveSide,
        isBad: Boolean,
    ): List<Double>? {
        when (side) {
            MoveSide.OLD -> pendingOld += isBad
            MoveSide.NEW -> pendingNew += isBad
        }
        if (pendingOld.size > MAX_PENDING) learn(pendingOld.removeFirst())
        if (pendingNew.size > MAX_PENDING) pendingNew.removeFirst()
        return if (pendingOld.isNotEmpty() && pendingNew.isNotEmpty()) closeBlock() else null
    }

    /** Takes outcomes of the old version from before the move; they bear on the bets and the reference only. */
    fun learn(earlier: OutcomeCounts) {
        oldCount += earlier.old
        oldBad += earlier.oldBad
    }

    private fun closeBlock(): List<Double> {
        val old = Counts.of(pendingOld)
        val new = Counts.of(pendingNew)
        // The bets on a block rest on earlier outcomes only.
        val a = (oldBad + priorShare * PRIOR_COUNT) / (oldCount + PRIOR_COUNT)
        val relative =
            RELATIVE_EXCESS.map { excess ->
                val b = a + (1 - a) * excess
                val mean = (old.total * a + new.total * b) / (old.total + new.total)
                old.logRatio(a, mean) + new.logRatio(b, mean)
            }
        val reference = minOf(MAX_REFERENCE, maxOf(LEAST_REFERENCE, a * REFERENCE_FACTOR, upperBound()))
        val referenced =
            REFERENCE_EXCESS.map { excess ->
                val log = new.logRatio(reference + (1 - reference) * excess, reference)
                if (old.bad > 0) minOf(0.0, log) else log
            }
        pendingOld.forEach(::learn)
        pendingOld.clear()
        pendingNew.clear()
        return (relative + referenced).onEachIndexed { index, log -> logs[index] += log }
    }

    /** An upper bound on the old share, high while little is known: the observed number plus two standard deviations and two more. */
    private fun upperBound(): Double = (oldBad + 2 * sqrt(oldBad + 1.0) + 2) / (oldCount + 2 + 2)

    private fun learn(isBad: Boolean) {
        oldCount++
        if (isBad) oldBad++
    }

    private class Counts(
        val total: Int,
        val bad: Int,
    ) {
        /** Logarithm of the likelihood under [share] over that under [other]. */
        fun logRatio(
            share: Double,
            other: Double,
        ): Double = bad * ln(share / other) + (total - bad) * ln((1 - share) / (1 - other))

        companion object {
            fun of(outcomes: Collection<Boolean>) = Counts(outcomes.size, outcomes.count { it })
        }
    }

    companion object {
        /** Alternatives: the part of the old version's good outcomes that turn bad. */
        private val RELATIVE_EXCESS = listOf(0.05, 0.2, 0.5, 0.9)
        private val REFERENCE_EXCESS = listOf(0.15, 0.4, 0.9)

        /** The number of alternatives. */
        val ALTERNATIVE_COUNT = RELATIVE_EXCESS.size + REFERENCE_EXCESS.size

        /** Keeps the two parts of a block in the same window of time. */
        private const val MAX_PENDING = 20
        private const val PRIOR_COUNT = 20.0
        private const val REFERENCE_FACTOR = 2.0
        private const val LEAST_REFERENCE = 0.05
        private const val MAX_REFERENCE = 0.8
    }
}
