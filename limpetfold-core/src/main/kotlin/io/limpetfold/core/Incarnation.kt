package io.limpetfold.core

import kotlinx.serialization.Serializable

/**
 * One run of a router process on an instance.
 *
 * @property number unique for each process start; a larger number is newer.
 */
@Serializable
data class Incarnation(
    val instance: InstanceId,
    val number: Long,
) : Comparable<Incarnation> {
    /** The text form, `instance@number`, which is also the map key in stored objects. */
    val key: String get() = "$instance@$number"

    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, { it.instance.value }, { it.number })

    override fun toString(): String = key

    companion object {
        /** Parses the text form in [key], or returns null when it is malformed. */
        fun parse(key: String): Incarnation? {
            val separator = key.lastIndexOf('@')
            val number = key.substring(separator + 1).toLongOrNull()
            return if (separator <= 0 || number == null) null else Incarnation(InstanceId(key.take(separator)), number)
        }
    }
}
