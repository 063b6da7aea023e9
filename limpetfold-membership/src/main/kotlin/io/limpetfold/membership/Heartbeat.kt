package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import io.limpetfold.core.ZoneId
import kotlinx.serialization.Serializable

/**
 * What a router tells its peers about itself.
 *
 * @property generation the configuration generation in force on the sender; 0 before the first.
 * @property directoryPosition the position of the store's history that the sender's endpoint list reflects; 0 where it keeps none.
 * @property seat the seat that the sender holds, or null.
 */
@Serializable
data class Heartbeat(
    val incarnation: Incarnation,
    val zone: ZoneId,
    val generation: Long,
    val seat: Int?,
    val isDraining: Boolean,
    val directoryPosition: Long = 0,
)
