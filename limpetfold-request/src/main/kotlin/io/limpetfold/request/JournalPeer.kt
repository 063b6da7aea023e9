package io.limpetfold.request

import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId

/** A router that may hold journal copies. */
data class JournalPeer(
    val instance: InstanceId,
    val zone: ZoneId,
)
