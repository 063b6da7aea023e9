package io.limpetfold.rollout

import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Compares the shares of bad outcomes in two streams, those of the old and the new version, by e-values.
 *
 * Outcomes are grouped into blocks of old and new ones from the same period. There are two kinds of alternative
 * hypothesis:
 *
 * - Relative: for shares (a, b) in the old and new stream, a block multiplies the e-value by the ratio of its
 *   likelihood under (a, b) to that under the weighted mean of both. The expectation is at most 1 for every pair of
 *   true shares in which the new one is not larger.
 * - Reference: for a share b of the new stream, a block multiplies the e-value by the ratio of the likelihood of its
 *   new outcomes under b to that under a reference share. The reference is twice the old version's earlier share, and
 *   at least an upper bound on that share and [MIN_REFERENCE]. A block with a bad old outcome can only lower the
 *   e-value, because a fault that affects both versions appears there too. The expectation is at most 1 while the new
 *   share is at most the reference. Without this kind, little could be concluded when most requests go to the new
 *   version.
 *
 * Outcomes are assumed independent given their stream. [add] returns the logarithms of a block's factors, to be
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

    /** Adds one outcome; returns the logarithms of the block's factors if the outcome completes a block. */
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

    /** Adds outcomes of the old version from before the move; they affect the alternatives and the reference only. */
    fun learn(earlier: OutcomeCounts) {
        oldCount += earlier.old
        oldBad += earlier.oldBad
    }

    private fun closeBlock(): List<Double> {
        val old = Counts.of(pendingOld)
        val new = Counts.of(pendingNew)
        // The alternatives and the reference of a block depend on earlier outcomes only.
        val a = (oldBad + priorShare * PRIOR_COUNT) / (oldCount + PRIOR_COUNT)
        val relative =
            RELATIVE_EXCESS.map { excess ->
                val b = a + (1 - a) * excess
                val mean = (old.total * a + new.total * b) / (old.total + new.total)
                old.logRatio(a, mean) + new.logRatio(b, mean)
            }
        val reference = minOf(MAX_REFERENCE, maxOf(MIN_REFERENCE, a * REFERENCE_FACTOR, upperBound()))
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

    /**
     * Returns an upper bound on the old share, which is high while few outcomes are known.
     *
     * It adds two standard deviations and two more to the observed number of bad outcomes.
     */
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
        /** Alternatives: the share of the old version's good outcomes that become bad with the new version. */
        private val RELATIVE_EXCESS = listOf(0.05, 0.2, 0.5, 0.9)
        private val REFERENCE_EXCESS = listOf(0.15, 0.4, 0.9)

        /** The number of alternatives of both kinds. */
        val ALTERNATIVE_COUNT = RELATIVE_EXCESS.size + REFERENCE_EXCESS.size

        /** Maximum number of pending outcomes of one version; keeps both parts of a block in the same period. */
        private const val MAX_PENDING = 20
        private const val PRIOR_COUNT = 20.0
        private const val REFERENCE_FACTOR = 2.0
        private const val MIN_REFERENCE = 0.05
        private const val MAX_REFERENCE = 0.8
    }
}
