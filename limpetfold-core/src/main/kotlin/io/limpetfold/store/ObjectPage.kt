package io.limpetfold.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Objects of a listing or a watch, in the order of their versions.
 *
 * @property removed keys of objects whose removal a watch has observed.
 * @property position the store-wide version up to which the page is complete; pass it to the next watch.
 */
data class ObjectPage(
    val objects: ImmutableList<StoredObject>,
    val position: ObjectVersion,
    val removed: ImmutableList<ObjectKey> = persistentListOf(),
)
