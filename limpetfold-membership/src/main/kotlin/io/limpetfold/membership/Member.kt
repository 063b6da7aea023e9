package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectVersion

/** A router of the fleet as described by its last heartbeat. */
data class Member(
    val incarnation: Incarnation,
    val zone: ZoneId,
    val generation: Long,
    val seat: Int?,
    val isDraining: Boolean,
    val directoryPosition: ObjectVersion = ObjectVersion.NONE,
) {
    val instance: InstanceId get() = incarnation.instance
}
