package io.limpetfold.rollout

import kotlin.math.exp
import kotlin.math.ln

/**
 * Accumulates the e-values of one metric so that a change is noticed at any time, not only from the start.
 *
 * A version that was good for long has gathered evidence in its favour, behind which a later fault would hide. The e-value is therefore a
 * mixture over the block at which the fault begins: half of the weight lies on the first block, the rest falls geometrically. A mixture of
 * e-values with weights that sum to 1 is an e-value, so it ever reaches 1/r with a probability of at most r. Not safe for concurrent use.
 */
internal class Evidence {
    private val started = DoubleArray(SequentialComparison.ALTERNATIVE_COUNT)
    private var nextWeight = FIRST_WEIGHT
    private var unstarted = 1.0

    /** The logarithm of the e-value, averaged over the alternatives. */
    val log: Double get() = ln(started.average() + unstarted)

    /** Adds the logarithms of one block's factors, one for each alternative. */
    fun add(logFactors: List<Double>) {
        for (index in started.indices) started[index] = minOf(MAX_VALUE, (started[index] + nextWeight) * exp(logFactors[index]))
        unstarted -= nextWeight
        nextWeight = unstarted * HAZARD
    }

    private companion object {
        const val FIRST_WEIGHT = 0.5
        const val HAZARD = 0.01

        /** Far above every limit; keeps the products finite. */
        const val MAX_VALUE = 1e200
    }
}
