package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * The state that a router reports to its peers.
 *
 * @property generation the active configuration generation of the sender; 0 before the first.
 * @property directoryPosition the position in the store's history that the sender's endpoint list reflects;
 * [ObjectVersion.NONE] if the sender keeps no list.
 * @property seat the seat that the sender holds, or null.
 */
@Serializable
data class Heartbeat(
    val incarnation: Incarnation,
    val zone: ZoneId,
    val generation: Long,
    val seat: Int?,
    val isDraining: Boolean,
    val directoryPosition: ObjectVersion = ObjectVersion.NONE,
)
