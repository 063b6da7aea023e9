package io.limpetfold.lease

import kotlinx.serialization.Serializable

/** A fencing number: grows with each holder of a lease; an endpoint that checks it refuses orders of earlier holders. */
@Serializable
@JvmInline
value class FencingToken(
    val number: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    companion object {
        /** Lower than the number of every holder. */
        val NONE = FencingToken(0)
    }
}
