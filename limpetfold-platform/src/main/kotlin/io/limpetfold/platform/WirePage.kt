package io.limpetfold.platform

import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable

/**
 * A listing, or the result of a watch, as the platform sends it.
 *
 * @property position the store-wide version up to which the page is complete.
 */
@Serializable
internal data class WirePage(
    val objects: List<WireObject> = emptyList(),
    val position: Long,
) {
    fun toPage(era: Long): ObjectPage =
        ObjectPage(
            objects
                .map {
                    StoredObject(
                        ObjectKey(it.key),
                        ObjectVersion.of(it.version, era),
                        it.value,
                    )
                }.toImmutableList(),
            ObjectVersion.of(position, era),
        )
}
