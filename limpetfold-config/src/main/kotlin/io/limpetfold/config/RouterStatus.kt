package io.limpetfold.config

import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectKey
import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * What a router last reported about itself, in the object `status/<instance>`.
 *
 * @property incarnation the number of the router's incarnation.
 * @property generation the configuration generation in force; 0 for none.
 */
@Serializable
data class RouterStatus(
    val instance: InstanceId,
    val incarnation: Long,
    val generation: Long,
    val zone: ZoneId,
    val isDraining: Boolean,
    @Serializable(with = InstantText::class)
    val updatedAt: Instant,
) {
    companion object {
        const val PREFIX = "status/"

        fun key(instance: InstanceId): ObjectKey = ObjectKey("$PREFIX$instance")
    }
}
