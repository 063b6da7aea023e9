package io.limpetfold.lease

import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * A number that increases with each new holder of a lease.
 *
 * An endpoint that checks it refuses orders of earlier holders. The upper bits hold the era of the store, as in an
 * [ObjectVersion], so the tokens of an era exceed all earlier ones although a restored record has an older token.
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

        /**
         * The token of the holder that replaces a record with token [previous] at [version].
         *
         * It exceeds all tokens of the era, also if a late write of an earlier era has put an older token into the
         * record: a token never exceeds the version of the record that first held it.
         */
        fun after(
            previous: FencingToken?,
            version: ObjectVersion,
        ) = FencingToken(maxOf((previous ?: NONE).number + 1, version.packed))
    }
}
