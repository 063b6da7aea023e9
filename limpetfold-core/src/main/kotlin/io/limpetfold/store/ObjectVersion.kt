package io.limpetfold.store

import kotlinx.serialization.Serializable

/** The version of a stored object: a number that increases with each write anywhere in the store. */
@Serializable
@JvmInline
value class ObjectVersion(
    val number: Long,
) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    companion object {
        /** As an expected version, the object must not exist; as a watch position, the beginning of the history. */
        val NONE = ObjectVersion(0)
    }
}
