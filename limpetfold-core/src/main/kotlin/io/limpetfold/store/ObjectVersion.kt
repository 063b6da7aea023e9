package io.limpetfold.store

import kotlinx.serialization.Serializable

/** The version of a stored object: one increasing number for the whole store. */
@Serializable
@JvmInline
value class ObjectVersion(
    val number: Long,
) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    companion object {
        /** As an expected version: the object must not exist. As a watch position: from the beginning. */
        val NONE = ObjectVersion(0)
    }
}
