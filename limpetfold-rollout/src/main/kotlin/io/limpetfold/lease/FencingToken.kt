package io.limpetfold.lease

import kotlinx.serialization.Serializable

/**
 * A number that increases with each new holder of a lease.
 *
 * An endpoint that checks it refuses orders of earlier holders.
 */
@Serializable
@JvmInline
value class FencingToken(
    val number: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    companion object {
        /** Lower than the token of every holder. */
        val NONE = FencingToken(0)
    }
}
