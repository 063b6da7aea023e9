package io.limpetfold.config

import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectKey
import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * The last status that a router reported, stored in the object `status/<instance>`.
 *
 * @property generation the active configuration generation; 0 before the first one.
 */
@Serializable
data class RouterStatus(
    val instance: InstanceId,
    val incarnation: Long,
    val generation: Long,
    val zone: ZoneId,
    val isDraining: Boolean,
    @Serializable(with = InstantSerializer::class)
    val updatedAt: Instant,
) {
    companion object {
        const val PREFIX = "status/"

        fun key(instance: InstanceId): ObjectKey = ObjectKey("$PREFIX$instance")
    }
}
