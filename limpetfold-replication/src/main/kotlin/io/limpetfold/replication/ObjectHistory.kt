package io.limpetfold.replication

import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.toImmutableList

/**
 * The newest change of each object under one prefix, in one era of the store. Not safe for concurrent use.
 *
 * A page of an earlier era is ignored. One of a later era replaces the history, so that no removal of the earlier era is
 * told to those that follow the later one.
 *
 * @param maxRemovals the number of removed keys that are kept; the oldest ones are dropped first, and the history is
 * then complete only from the dropped removal on.
 */
class ObjectHistory(
    private val maxRemovals: Int = MAX_REMOVALS,
) {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val removals = LinkedHashMap<ObjectKey, ObjectVersion>()
    private var completeFrom = ObjectVersion.NONE

    /** The keys of the objects. */
    val keys: Set<ObjectKey> get() = objects.keys

    /** The version up to which the history is complete. */
    var position: ObjectVersion = ObjectVersion.NONE
        private set

    /** The position at which an object was last written or removed. */
    var lastChange: ObjectVersion = ObjectVersion.NONE
        private set

    /** Replaces the history by a listing; what happened before its position is not known. */
    fun applyListing(page: ObjectPage) {
        if (page.position.era < position.era) return
        objects.clear()
        removals.clear()
        page.objects.forEach { objects[it.key] = it }
        completeFrom = page.position
        position = page.position
        lastChange = page.position
    }

    /** Adds the changes of a watch that began at [after]. */
    fun applyChanges(
        after: ObjectVersion,
        page: ObjectPage,
    ) {
        if (page.position.era < position.era) return
        if (page.position.era > position.era) {
            objects.clear()
            removals.clear()
        }
        if (after > position) completeFrom = after
        for (changed in page.objects) {
            removals.remove(changed.key)
            objects[changed.key] = changed
        }
        for (key in page.removed) {
            objects.remove(key)
            removals.remove(key)
            removals[key] = page.position
        }
        dropOldestRemovals()
        position = maxOf(position, after, page.position)
        if (page.objects.isNotEmpty() || page.removed.isNotEmpty()) lastChange = position
    }

    /** The changes with a version above [after]; null when the history does not reach back to it, or is of another era. */
    fun changesAfter(after: ObjectVersion): ObjectPage? {
        if (after < completeFrom || after.era != position.era) return null
        return ObjectPage(
            objects.values
                .filter { it.version > after }
                .sortedBy { it.version }
                .toImmutableList(),
            position,
            removals.filterValues { it > after }.keys.toImmutableList(),
        )
    }

    private fun dropOldestRemovals() {
        while (removals.size > maxRemovals) {
            val (key, version) = removals.entries.first()
            removals.remove(key)
            completeFrom = maxOf(completeFrom, version)
        }
    }

    private companion object {
        const val MAX_REMOVALS = 1_000
    }
}
