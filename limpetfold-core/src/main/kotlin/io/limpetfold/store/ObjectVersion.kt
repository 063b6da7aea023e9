package io.limpetfold.store

import kotlinx.serialization.Serializable

/**
 * A point in the history of the store: its era and the revision that the store counts within the era.
 *
 * A store that is restored from an older copy begins a new era and gives out revisions again, so two revisions can be
 * compared only within one era. A version of a later era is newer than each version of an earlier one. The era is 0 in
 * stores that have none.
 *
 * Both numbers share one serialized number, which equals the revision in era 0.
 */
@Serializable
@JvmInline
value class ObjectVersion private constructor(
    /** Era and revision in one number, in the order of the versions. */
    val packed: Long,
) : Comparable<ObjectVersion> {
    /** How often the store has been restored from an older copy. */
    val era: Long get() = packed shr REVISION_BITS

    /** The store's number of the change within [era], as a conditional write or a watch states it. */
    val revision: Long get() = packed and MAX_REVISION

    override fun compareTo(other: ObjectVersion): Int = packed.compareTo(other.packed)

    override fun toString(): String = if (era == 0L) "$revision" else "$era:$revision"

    companion object {
        private const val REVISION_BITS = 44

        /** The largest revision; a store with a thousand changes a second reaches it after 500 years. */
        const val MAX_REVISION: Long = (1L shl REVISION_BITS) - 1

        /** The largest era. */
        const val MAX_ERA: Long = (1L shl (Long.SIZE_BITS - 1 - REVISION_BITS)) - 1

        /** As an expected version, the object must not exist; as a watch position, the beginning of the history. */
        val NONE = ObjectVersion(0)

        /**
         * The version with [revision] in [era].
         *
         * @throws IllegalArgumentException if either is negative or larger than [MAX_REVISION] or [MAX_ERA].
         */
        fun of(
            revision: Long,
            era: Long = 0,
        ): ObjectVersion {
            require(revision in 0..MAX_REVISION) { "the revision must be 0 to $MAX_REVISION, not $revision" }
            require(era in 0..MAX_ERA) { "the era must be 0 to $MAX_ERA, not $era" }
            return ObjectVersion((era shl REVISION_BITS) or revision)
        }
    }
}
