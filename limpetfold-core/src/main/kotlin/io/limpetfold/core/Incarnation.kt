package io.limpetfold.core

import kotlinx.serialization.Serializable

/**
 * One life of a router process on an instance.
 *
 * @property number unique for each process start; a larger number is newer.
 */
@Serializable
data class Incarnation(
    val instance: InstanceId,
    val number: Long,
) : Comparable<Incarnation> {
    /** The form used as a map key in stored objects: `instance@number`. */
    val key: String get() = "$instance@$number"

    override fun compareTo(other: Incarnation): Int =
        compareValuesBy(this, other, { it.instance.value }, { it.number })

    override fun toString(): String = key

    companion object {
        /** Parses [key], or returns null when the text has another form. */
        fun parse(key: String): Incarnation? {
            val separator = key.lastIndexOf('@')
            val number = key.substring(separator + 1).toLongOrNull()
            return if (separator <= 0 || number == null) null else Incarnation(InstanceId(key.take(separator)), number)
        }
    }
}
