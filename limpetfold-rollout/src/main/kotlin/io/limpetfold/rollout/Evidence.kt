package io.limpetfold.rollout

import kotlin.math.exp
import kotlin.math.ln

/**
 * Accumulates the e-values of one metric so that a fault is detected whenever it begins, not only at the start.
 *
 * A version that performed well for a long time has accumulated evidence in its favour, which would mask a later fault.
 * The e-value is therefore a mixture over the block at which the fault begins: half of the weight is on the first
 * block, the rest decreases geometrically. A mixture of e-values with weights that sum to 1 is an e-value, so the
 * probability that it ever reaches 1/r is at most r. Not safe for concurrent use.
 */
internal class Evidence {
    private val started = DoubleArray(SequentialComparison.ALTERNATIVE_COUNT)
    private var nextWeight = FIRST_WEIGHT
    private var unstarted = 1.0

    /** The logarithm of the e-value, averaged over the alternatives. */
    val log: Double get() = ln(started.average() + unstarted)

    /** Adds the logarithms of the factors of one block, one for each alternative. */
    fun add(logFactors: List<Double>) {
        for (index in started.indices) {
            started[index] =
                minOf(MAX_VALUE, (started[index] + nextWeight) * exp(logFactors[index]))
        }
        unstarted -= nextWeight
        nextWeight = unstarted * HAZARD
    }

    private companion object {
        const val FIRST_WEIGHT = 0.5
        const val HAZARD = 0.01

        /** Keeps the products finite; far above every threshold. */
        const val MAX_VALUE = 1e200
    }
}
